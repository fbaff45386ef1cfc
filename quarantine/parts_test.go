package quarantine_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/quarantine"
)

// never and always are the functions that decide which gateway tries a part again.
func never(quarantine.Fingerprint) bool { return false }

func always(quarantine.Fingerprint) bool { return true }

// prompt returns a prompt with the shared parts.
func prompt(parts ...string) quarantine.Prompt { return quarantine.NewPrompt("review", "m", parts) }

// crashParts records the crash of an engine, at the given time after start, under a request with
// these parts that ran for 50 ms.
func crashParts(t *quarantine.Parts, engine string, after time.Duration, parts ...string) {
	at := start.Add(after)
	t.RecordCrash(quarantine.Run{Prompt: prompt(parts...), Sent: at.Add(-50 * time.Millisecond)}, engine, at, at)
}

// begin records that an answer on these parts began at the given time after start.
func begin(t *quarantine.Parts, after time.Duration, parts ...string) {
	t.RecordBegun(prompt(parts...), start.Add(after), start.Add(after).Add(quarantine.BeginSettles))
}

// rejectedPart returns the index of the part for which a prompt is rejected; -1 if it isn't.
func rejectedPart(t *quarantine.Parts, after time.Duration, parts ...string) int {
	_, err := t.Check(prompt(parts...), start.Add(after), never)
	var rejection *quarantine.PartRejectedError
	if !errors.As(err, &rejection) {
		return -1
	}
	return rejection.Index
}

func ExampleParts() {
	parts := quarantine.NewParts()
	for i := range 4 {
		at := start.Add(time.Duration(i) * time.Second)
		if _, err := parts.Check(prompt("system", "dead"), at, never); err != nil {
			fmt.Println(err)
			break
		}
		parts.RecordCrash(quarantine.Run{Prompt: prompt("system", "dead"), Sent: at}, fmt.Sprint("engine-", i), at.Add(100*time.Millisecond), at.Add(100*time.Millisecond))
		parts.RecordBegun(prompt("system", "other"), at.Add(200*time.Millisecond), at.Add(500*time.Millisecond))
	}
	_, err := parts.Check(prompt("system", "other"), start.Add(5*time.Second), never)
	fmt.Println(err)
	// Output:
	// engines crash as they begin to answer prompts with one of its parts
	// <nil>
}

// TestPartsAreJudged records crashes and answers, and checks which part of a prompt is rejected.
func TestPartsAreJudged(t *testing.T) {
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	crashes := func(table *quarantine.Parts, n int, parts ...string) {
		for i := 1; i <= n; i++ {
			crashParts(table, fmt.Sprint(parts, i), second(i), parts...)
			begin(table, second(i)+100*time.Millisecond, "system", "sound")
		}
	}
	for name, test := range map[string]struct {
		record   func(table *quarantine.Parts)
		prompt   []string
		rejected int
	}{
		"two crashes":                            {func(p *quarantine.Parts) { crashes(p, 2, "system", "dead") }, []string{"system", "dead"}, -1},
		"three separate crashes":                 {func(p *quarantine.Parts) { crashes(p, 3, "system", "dead") }, []string{"system", "dead"}, 1},
		"sound request with the same first part": {func(p *quarantine.Parts) { crashes(p, 3, "system", "dead") }, []string{"system", "sound"}, -1},
		"nothing else was answered meanwhile": {func(p *quarantine.Parts) {
			for i := 1; i <= 4; i++ {
				crashParts(p, fmt.Sprint(i), second(i), "dead")
			}
			begin(p, second(5), "sound")
		}, []string{"dead"}, -1},
		"crashes that overlap": {func(p *quarantine.Parts) {
			for i := range 10 {
				crashParts(p, fmt.Sprint(i), second(1), "dead")
			}
			begin(p, second(1), "sound")
		}, []string{"dead"}, -1},
		"answered after the crashes": {func(p *quarantine.Parts) {
			crashes(p, 3, "dead")
			begin(p, second(4), "dead")
		}, []string{"dead"}, -1},
		"answered before the crashes": {func(p *quarantine.Parts) {
			begin(p, 0, "dead")
			crashes(p, 3, "dead")
		}, []string{"dead"}, 0},
		"most engines crashed under other parts": {func(p *quarantine.Parts) {
			for i := 1; i <= 4; i++ {
				crashParts(p, fmt.Sprint("dead", i), second(i), "dead")
				for j := range 5 {
					crashParts(p, fmt.Sprint("other", i, j), second(i), fmt.Sprint("other", j))
				}
				begin(p, second(i)+100*time.Millisecond, "sound")
			}
		}, []string{"dead"}, -1},
		"always together": {func(p *quarantine.Parts) { crashes(p, 3, "companion", "dead") }, []string{"companion", "dead"}, 0},
		"one of two that were always together": {func(p *quarantine.Parts) {
			crashes(p, 3, "companion", "dead")
			_ = rejectedPart(p, second(4), "companion", "dead")
		}, []string{"companion"}, -1},
		"the other one, after one of two was answered": {func(p *quarantine.Parts) {
			crashes(p, 3, "companion", "dead")
			_ = rejectedPart(p, second(4), "companion", "dead")
			begin(p, second(4), "companion")
		}, []string{"dead"}, 0},
		"the answer had begun": {func(p *quarantine.Parts) {
			for i := 1; i <= 4; i++ {
				at := start.Add(second(i))
				p.RecordCrash(quarantine.Run{Prompt: prompt("dead"), Sent: at.Add(-time.Second), Begun: at.Add(-quarantine.BeginSettles)}, fmt.Sprint(i), at, at)
				begin(p, second(i)+100*time.Millisecond, "sound")
			}
		}, []string{"dead"}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			table := quarantine.NewParts()
			test.record(table)
			must.Eq(t, test.rejected, rejectedPart(table, second(6), test.prompt...))
		})
	}
}

// TestPartOfAnotherServiceOrModel guards against a verdict that spreads to engines that were never
// seen to crash.
func TestPartOfAnotherServiceOrModel(t *testing.T) {
	table := quarantinedTable()
	must.Eq(t, 0, rejectedPart(table, 5*time.Second, "dead"))
	for _, p := range []quarantine.Prompt{quarantine.NewPrompt("review", "n", []string{"dead"}), quarantine.NewPrompt("other", "m", []string{"dead"})} {
		_, err := table.Check(p, start.Add(5*time.Second), never)
		must.NoError(t, err)
	}
}

// TestOutageOfOtherEnginesQuarantinesNothing guards against a part that is quarantined because all
// engines of its service crashed while those of another one answered, and against a cause that is let
// through because these crashes seem to explain it.
func TestOutageOfOtherEnginesQuarantinesNothing(t *testing.T) {
	table := quarantine.NewParts()
	other := quarantine.NewPrompt("other", "m", []string{"system"})
	for i := 1; i <= 3; i++ {
		at := start.Add(time.Duration(i) * time.Second)
		table.RecordCrash(quarantine.Run{Prompt: other, Sent: at.Add(-50 * time.Millisecond)}, fmt.Sprint("other", i), at.Add(500*time.Millisecond), at)
		crashParts(table, fmt.Sprint(i), time.Duration(i)*time.Second, "dead")
		begin(table, time.Duration(i)*time.Second+100*time.Millisecond, "sound")
	}
	must.Eq(t, 0, rejectedPart(table, 4*time.Second, "dead"))
	must.Eq(t, 1, table.QuarantinedCount())
	_, err := table.Check(other, start.Add(4*time.Second), never)
	must.NoError(t, err)
}

// quarantinedTable returns a table in which the part dead is quarantined.
func quarantinedTable() *quarantine.Parts {
	table := quarantine.NewParts()
	for i := 1; i <= 3; i++ {
		crashParts(table, fmt.Sprint(i), time.Duration(i)*time.Second, "dead")
		begin(table, time.Duration(i)*time.Second+100*time.Millisecond, "sound")
	}
	_ = rejectedPart(table, 4*time.Second, "dead")
	return table
}

// TestOneGatewayTriesAgain guards against several requests at once that try a part whose
// quarantine has ended, and against one that is never tried again.
func TestOneGatewayTriesAgain(t *testing.T) {
	table := quarantinedTable()
	later := start.Add(time.Hour)
	_, err := table.Check(prompt("dead"), later, never)
	must.Error(t, err)
	trials, err := table.Check(prompt("dead"), later, always)
	must.NoError(t, err)
	must.SliceLen(t, 1, trials)
	table.BeginTrials(trials)
	_, err = table.Check(prompt("dead"), later, always)
	must.Error(t, err)
	table.EndTrials(trials)
	table.RecordBegun(prompt("dead"), later, later)
	must.Eq(t, 0, table.QuarantinedCount())
	_, err = table.Check(prompt("dead"), later, never)
	must.NoError(t, err)
}

// TestMadeUpPartsPushNothingOut guards against a caller whose requests crash engines under ever new
// parts, and so push out a part that is quarantined.
func TestMadeUpPartsPushNothingOut(t *testing.T) {
	table := quarantinedTable()
	for i := range 5000 {
		crashParts(table, fmt.Sprint("engine", i), 5*time.Second, fmt.Sprint("made-up-", i))
	}
	must.Eq(t, 0, rejectedPart(table, 6*time.Second, "dead"))
	must.LessEq(t, 200, len(table.OutgoingLocal(start.Add(6*time.Second))), must.Sprint("the message is bounded too"))
}

// TestPartReportsAddUp guards against crashes that gateways see one each and that none of them
// counts, and against a sound part that the reports of others get rejected.
func TestPartReportsAddUp(t *testing.T) {
	tables := []*quarantine.Parts{quarantine.NewParts(), quarantine.NewParts(), quarantine.NewParts()}
	exchange := func(after time.Duration) {
		for _, from := range tables {
			reports := from.OutgoingLocal(start.Add(after))
			for _, to := range tables {
				if to != from {
					to.ReceiveLocal(reports, start.Add(after))
				}
			}
		}
	}
	for i, table := range tables {
		at := time.Duration(1+i) * time.Second
		crashParts(table, fmt.Sprint(i), at, "system", "dead")
		begin(tables[0], at+100*time.Millisecond, "system", "sound")
		exchange(at + 500*time.Millisecond)
	}
	exchange(4 * time.Second)
	must.Eq(t, 1, rejectedPart(tables[0], 5*time.Second, "system", "dead"))
	for range 3 {
		exchange(5 * time.Second)
	}
	for _, table := range tables {
		must.Eq(t, 1, rejectedPart(table, 5*time.Second, "system", "dead"))
		must.Eq(t, -1, rejectedPart(table, 5*time.Second, "system", "sound"))
	}
}
