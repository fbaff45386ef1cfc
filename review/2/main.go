// Command case2 shows that a control host which was away for some seconds answers a read of the
// config with an older version than one that was confirmed seconds before. See claim.txt.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/linenscale/linenscale/review/harness"
)

const (
	service = "correspondance"
	host    = "ficu95.example"
	// routes is the number of routes that big_config adds.
	routes = 350
	// away is how long the region is lost: region_loss in the site file.
	away = 6 * time.Second
	// applyTime is ConfigApplyMs.
	applyTime = 4 * time.Second
	// readers is how many reads of the operator are under way at once.
	readers = 24
	// readerGap is how long after one reader the next begins.
	readerGap = 2 * time.Millisecond
	// recordedReads is how many answered reads of a round are recorded one by one.
	recordedReads = 100
	// readTime is how long the host that came back is asked.
	readTime = 2 * time.Second
	// changeGap is the pause between two changes: gap_s of config_storm in the site file.
	changeGap = 60 * time.Millisecond
	// changesPerSnapshot is after how many changes the program writes a snapshot.
	changesPerSnapshot = 64
	// lastRoundStarts is when no further round begins, as one takes some 20 seconds.
	lastRoundStarts = 85 * time.Second
	// calmRounds is the number of rounds without the disruption.
	calmRounds = 2
)

func main() {
	program := flag.String("program", "target/linenscaled", "the program under test")
	recordPath := flag.String("record", "review/2/record.txt", "where to write what happened")
	keep := flag.Bool("keep", false, "keep the logs")
	flag.Parse()
	os.Exit(run(*program, *recordPath, *keep, os.Getenv("TROUBLE") != "0"))
}

func run(program, recordPath string, keep, trouble bool) int {
	record, err := harness.NewRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return harness.ExitNotRun
	}
	defer record.Close()
	d, err := harness.Start(record, program, 1, "")
	if d != nil {
		defer d.Stop(keep)
	}
	stale, rounds := 0, 0
	if err == nil {
		c := &play{d: d, record: record, confirmed: make(map[int64]time.Time)}
		stale, rounds, err = c.run(trouble)
	}
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return harness.ExitNotRun
	case stale > 0:
		record.Printf("CONFIG broken by %d reads in round %d", stale, rounds)
		fmt.Println("CONFIG broken by", stale, "reads in round", rounds)
		return harness.ExitBroken
	}
	record.Printf("CONFIG held in %d rounds", rounds)
	fmt.Println("CONFIG held in", rounds, "rounds")
	return harness.ExitHeld
}

// play is one run of the case.
type play struct {
	d       *harness.Deployment
	record  *harness.Record
	version int64
	// confirmed is when the confirmation of each version had arrived.
	confirmed map[int64]time.Time
}

// run plays rounds until a read is stale or the time is over.
func (p *play) run(trouble bool) (stale, rounds int, err error) {
	started := time.Now()
	if err := p.change(p.d.Controls[0]); err != nil {
		return 0, 0, err
	}
	if err := p.d.WaitReady(15 * time.Second); err != nil {
		return 0, 0, err
	}
	for time.Since(started) < lastRoundStarts && (trouble || rounds < calmRounds) {
		rounds++
		if stale, err = p.round(trouble); err != nil || stale > 0 {
			return stale, rounds, err
		}
	}
	return 0, rounds, nil
}

// round has a region lost while the config changes, and reads the config at its control host
// when that is back.
func (p *play) round(trouble bool) (stale int, err error) {
	leader, err := p.leader()
	if err != nil {
		return 0, err
	}
	lost := p.d.Controls[0]
	if lost == leader {
		lost = p.d.Controls[1]
	}
	// Changes up to a few before the next snapshot.
	if err := p.changeUntilSnapshot(leader); err != nil {
		return 0, err
	}
	for range changesPerSnapshot - 6 {
		if err := p.change(leader); err != nil {
			return 0, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	before := p.version
	lostAt := time.Now()
	hosts := append([]*harness.Host{lost}, p.d.FrontsIn(lost.Zone.Region)...)
	if trouble {
		for _, h := range hosts {
			p.d.Kill(h)
		}
	}
	// The last change is one after which the leader writes its snapshot.
	if err := p.changeUntilSnapshot(leader); err != nil {
		return 0, err
	}
	p.record.Printf("versions %d to %d were confirmed while %s was away", before+1, p.version, lost.Name)
	time.Sleep(time.Until(lostAt.Add(away)))
	if trouble {
		for _, h := range hosts {
			if err := p.d.StartHost(h); err != nil {
				return 0, err
			}
		}
	}
	return p.countStaleReads(lost), p.d.WaitReady(10 * time.Second)
}

// countStaleReads has readers ask a control host from when it accepts channels, one shortly after
// the other, and returns how many got an answer that is too old.
func (p *play) countStaleReads(h *harness.Host) int {
	until := time.Now().Add(readTime)
	for time.Now().Before(until) {
		conn, err := net.Dial("tcp", h.ControlAddress())
		if err == nil {
			conn.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	var reads sync.WaitGroup
	var stale, answers atomic.Int64
	for i := range readers {
		reads.Go(func() {
			time.Sleep(time.Duration(i) * readerGap)
			for time.Now().Before(until) {
				sentAt := time.Now()
				version, tooOld := p.read(h)
				if version > 0 && answers.Add(1) <= recordedReads {
					p.record.Printf("read at %s, sent %.3f s ago, answered with version %d", h.Name, time.Since(sentAt).Seconds(), version)
				}
				if tooOld {
					stale.Add(1)
				}
			}
		})
	}
	reads.Wait()
	p.record.Printf("%d reads at %s were answered with a config, %d of them with one that is too old", answers.Load(), h.Name, stale.Load())
	return int(stale.Load())
}

// change sends the next version to a control host, and to others in turn until it is confirmed.
func (p *play) change(first *harness.Host) error {
	time.Sleep(changeGap)
	p.version++
	config := harness.Config{
		ConfigVersion: p.version,
		Services:      []harness.Service{{Name: service, HealthPath: "/health", MaxConnections: 110, Protocol: "h1"}},
		Limits:        harness.UsualLimits,
	}
	for i := range routes {
		config.Routes = append(config.Routes, harness.Route{
			Name: fmt.Sprintf("r-%04d", i), Host: host, PathPrefix: fmt.Sprintf("/lohu%04d/", i), Kind: "safe", TimeoutMs: 1500, TargetLatencyMs: 500, Priority: 2, Service: service, MaxAttempts: 2,
		})
	}
	err := p.d.PutAt(config, 15*time.Second, append([]*harness.Host{first}, p.d.Controls...))
	if err == nil {
		p.confirmed[p.version] = time.Now()
	}
	return err
}

// changeUntilSnapshot sends changes until one after which the leader has written a snapshot.
func (p *play) changeUntilSnapshot(leader *harness.Host) error {
	before, err := p.d.LogNumber(leader)
	if err != nil {
		return err
	}
	for range 2 * changesPerSnapshot {
		if err := p.change(leader); err != nil {
			return err
		}
		for range 8 {
			time.Sleep(5 * time.Millisecond)
			if after, err := p.d.LogNumber(leader); err != nil || after != before {
				return err
			}
		}
	}
	return errors.New("the leader wrote no snapshot")
}

// leader returns the control host that leads, by the logs.
func (p *play) leader() (*harness.Host, error) {
	for range 100 {
		for _, h := range p.d.Controls {
			if h.Running() && p.d.LastLogField(h, "replica role or leader changed", "role") == "leader" {
				return h, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, errors.New("no control host leads")
}

var operator = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// read reads the config once and returns its version, or 0 if it wasn't answered with one. tooOld
// reports that the version is older than one whose confirmation had arrived more than applyTime
// before the read was sent.
func (p *play) read(h *harness.Host) (version int64, tooOld bool) {
	sentAt := time.Now()
	resp, err := operator.Get("http://" + h.ControlAddress() + "/config/get")
	if err != nil {
		time.Sleep(time.Millisecond)
		return 0, false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	var config harness.Config
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(data, &config) != nil {
		return 0, false
	}
	newest := int64(0)
	for version, at := range p.confirmed {
		if sentAt.Sub(at) > applyTime {
			newest = max(newest, version)
		}
	}
	if config.ConfigVersion >= newest {
		return config.ConfigVersion, false
	}
	p.record.Printf("BROKEN: %s answered a read with 200 and version %d; version %d had been confirmed %.1f s before the read was sent", h.Name, config.ConfigVersion, newest, sentAt.Sub(p.confirmed[newest]).Seconds())
	return config.ConfigVersion, true
}
