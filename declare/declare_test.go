package declare_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/declare"
)

// expectedFaults returns the expected faults of a file. Each is written as a comment,
// # want `text`, within the document that causes it.
func expectedFaults(t *testing.T, name string) []string {
	t.Helper()
	data, err := os.ReadFile(name)
	must.NoError(t, err)
	var out []string
	for _, m := range regexp.MustCompile("# want `([^`]*)`").FindAllStringSubmatch(string(data), -1) {
		out = append(out, m[1])
	}
	return out
}

func copyTestdata(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(dir, name), data, 0o600))
	return dir
}

// requireFaults checks that err contains exactly the expected faults, each with a file and
// a line.
func requireFaults(t *testing.T, err error, expected []string) {
	t.Helper()
	var faults declare.LoadErrors
	must.True(t, errors.As(err, &faults), must.Sprint(err))
	for _, want := range expected {
		must.StrContains(t, err.Error(), want)
	}
	must.SliceLen(t, len(expected), faults, must.Sprint(err))
	for _, fault := range faults {
		must.RegexMatch(t, regexp.MustCompile(`\.yaml:[1-9][0-9]*: `), fault.Error())
	}
}

func TestFaultsNameFileAndLine(t *testing.T) {
	for _, name := range []string{"faults.yaml", "syntax.yaml"} {
		t.Run(name, func(t *testing.T) {
			_, err := declare.LoadConfig(copyTestdata(t, name))
			requireFaults(t, err, expectedFaults(t, filepath.Join("testdata", name)))
		})
	}
}

func TestExamplesLoadWithoutFaults(t *testing.T) {
	for _, name := range []string{"cooperative", "association"} {
		loaded, faults := declare.ReadFolder(filepath.Join("..", "examples", name, "declarations"))
		must.SliceEmpty(t, faults)
		engines := 0
		for _, l := range loaded {
			if _, ok := l.Object.(declare.Engine); ok {
				engines++
			}
		}
		must.Eq(t, 15, engines)
	}
}

func TestChangeIsAtomic(t *testing.T) {
	before, err := declare.Config{}.Apply(declare.Change{Puts: []declare.Envelope{{Object: declare.Region{Name: "a"}}}})
	must.NoError(t, err)
	_, err = before.Apply(declare.Change{Puts: []declare.Envelope{
		{Object: declare.Region{Name: "b"}}, {Object: declare.DataCentre{Name: "d", Region: "nowhere"}},
	}})
	must.ErrorContains(t, err, `DataCentre/d: region: Region "nowhere" is not declared`)
	must.SliceLen(t, 1, before.Objects())
	_, err = before.Apply(declare.Change{Deletes: []declare.Ref{{Kind: declare.KindRegion, Name: "b"}}})
	must.True(t, errors.Is(err, errors.NotFound))
}

func TestConfigRoundTripsThroughJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		change := declare.Change{Puts: []declare.Envelope{{Object: declare.Region{Name: "r"}}, {Object: declare.DataCentre{Name: "d", Region: "r"}}, {Object: declare.Service{Name: "s", Type: declare.ServicePlain}}}}
		for i := range rapid.IntRange(0, 5).Draw(t, "engines") {
			e := declare.Engine{Name: fmt.Sprint("e", i), Service: "s", DataCentre: "d", Address: "127.0.0.1:1", Slots: 1}
			for range rapid.IntRange(0, 3).Draw(t, "labels") {
				e = e.WithLabel(rapid.StringMatching(`[a-z]{1,4}`).Draw(t, "key"), rapid.String().Draw(t, "value"))
			}
			change.Puts = append(change.Puts, declare.Envelope{Object: e})
		}
		config, err := declare.Config{}.Apply(change)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(config)
		if err != nil {
			t.Fatal(err)
		}
		var decoded declare.Config
		if err := json.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		reencoded, err := json.Marshal(decoded)
		if err != nil || string(reencoded) != string(data) {
			t.Fatalf("%s became %s (%v)", data, reencoded, err)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("kind: Region\nname: lagos\n---\nkind: Engine\nslots: x\n"))
	f.Add([]byte("kind: [\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		loaded, faults := declare.Parse("fuzz.yaml", data)
		for _, l := range loaded {
			must.NotEq(t, declare.Kind(""), l.Object.Ref().Kind)
		}
		for _, fault := range faults {
			must.True(t, strings.HasPrefix(fault.Error(), "fuzz.yaml:"))
		}
	})
}

func ExampleLabels_With() {
	labels := declare.NewLabels(declare.Label{Key: "role", Value: "review"})
	next := labels.With("model", "gerber-review-14b")
	fmt.Println(labels.Has("model"), next.Get("model"))
	// Output: false gerber-review-14b
}

func ExampleConfig_Apply() {
	first, _ := declare.Config{}.Apply(declare.Change{Puts: []declare.Envelope{{Object: declare.Region{Name: "lagos"}}}})
	second, _ := first.Apply(declare.Change{Puts: []declare.Envelope{{Object: declare.Region{Name: "abuja"}}}})
	fmt.Println(first.Revision(), len(first.Objects()), second.Revision(), len(second.Objects()))
	// Output: 1 1 2 2
}
