// Package capacity measures how the cost of each component (memory, time or message size)
// grows with the size of a system. It measures each at four sizes at least, fits a line
// and extrapolates to a target size.
package capacity

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/leader"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/route"
	"github.com/linenscale/linenscale/wal"
)

// measurement describes one cost, the sizes at which it is measured and the size to
// extrapolate to.
type measurement struct {
	name       string
	sizeUnit   string // what the sizes count
	unit       string // of the cost
	sizes      []int
	targetSize int // size to extrapolate to
	measure    func(n int) (float64, error)
}

// Report measures all costs and writes a table of the fitted lines, their coefficients of
// determination and the costs at the target sizes.
func Report(w io.Writer) error {
	measurements := []measurement{
		{"configuration as JSON", "engines", "bytes", []int{100, 500, 2000, 6000}, 12_000, configBytes},
		{"configuration in memory", "engines", "bytes", []int{500, 2000, 6000, 12_000}, 12_000, configMemory},
		{"one change applied", "engines", "us", []int{100, 500, 2000, 6000}, 12_000, changeTime},
		{"selectors compiled", "services", "us", []int{5, 10, 25, 50}, 25, compileTime},
		{"view of engines in memory", "engines of the region", "bytes", []int{50, 200, 600, 2400}, 2400, viewMemory},
		{"snapshot of the control log", "changes remembered", "bytes", []int{500, 2000, 8000, 16_000}, 60_000, snapshotBytes},
		{"restart from the log", "changes since the snapshot", "ms", []int{250, 500, 1000, 2000}, 2048, restartTime},
		{"restart from a snapshot", "changes remembered", "ms", []int{500, 2000, 8000, 30_000}, 60_000, snapshotRestartTime},
		{"report of one host", "services", "bytes", []int{2, 5, 10, 25}, 25, reportBytes},
		{"status of all hosts", "hosts", "bytes", []int{10, 50, 100, 200}, 370, membersBytes},
		{"loads of all regions", "regions of 25 services", "bytes", []int{2, 5, 10, 20}, 20, regionsBytes},
	}
	if _, err := fmt.Fprintf(w, "%-30s %-28s %-6s %14s %14s %7s %16s\n", "what", "grows with", "unit", "fixed", "for each", "R2", "at the target"); err != nil {
		return errors.Trace(err)
	}
	for _, s := range measurements {
		if err := s.report(w); err != nil {
			return errors.Annotate(err, s.name)
		}
	}
	return nil
}

func (s measurement) report(w io.Writer) error {
	x := make([]float64, len(s.sizes))
	y := make([]float64, len(s.sizes))
	points := ""
	for i, n := range s.sizes {
		value, err := s.measure(n)
		if err != nil {
			return err
		}
		x[i], y[i] = float64(n), value
		points += fmt.Sprintf(" %d:%.0f", n, value)
	}
	fixed, perUnit := stat.LinearRegression(x, y, nil, false)
	rSquared := stat.RSquared(x, y, nil, fixed, perUnit)
	_, err := fmt.Fprintf(w, "%-30s %-28s %-6s %14.1f %14.3f %7.4f %10d:%-10.0f measured%s\n",
		s.name, s.sizeUnit, s.unit, fixed, perUnit, rSquared, s.targetSize, fixed+perUnit*float64(s.targetSize), points)
	return errors.Trace(err)
}

// newConfig returns a configuration whose engines are spread over 20 regions and 50 data
// centres.
func newConfig(engines, services int) (declare.Config, error) {
	var c declare.Change
	put := func(o declare.Object) { c.Puts = append(c.Puts, declare.Envelope{Object: o}) }
	for r := range 20 {
		put(declare.Region{Name: fmt.Sprint("region-", r)})
	}
	for d := range 50 {
		put(declare.DataCentre{Name: fmt.Sprint("dc-", d), Region: fmt.Sprint("region-", d%20)})
	}
	for s := range services {
		name := fmt.Sprint("service-", s)
		put(declare.Service{Name: name, Type: declare.ServiceModel, Models: []string{"model"}})
		put(declare.Selector{Name: name, Service: name, Match: "home in (region-1, region-2)", Allow: "region in (region-1, region-2, region-3), role=serve"})
	}
	for e := range engines {
		put(newEngine(e, services, 0))
	}
	return declare.Config{}.Apply(c)
}

func newEngine(e, services int, cost float64) declare.Engine {
	return declare.Engine{
		Name: fmt.Sprint("engine-", e), Service: fmt.Sprint("service-", e%services), DataCentre: fmt.Sprint("dc-", e%50),
		Address: fmt.Sprintf("10.%d.%d.1:8000", e/250, e%250), Slots: 16, Cost: cost,
		Labels: declare.NewLabels(declare.Label{Key: "role", Value: "serve"}, declare.Label{Key: "model", Value: "model"}),
	}
}

func configBytes(n int) (float64, error) {
	c, err := newConfig(n, 25)
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(c)
	return float64(len(data)), errors.Trace(err)
}

func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func configMemory(n int) (float64, error) {
	before := heapInUse()
	c, err := newConfig(n, 25)
	if err != nil {
		return 0, err
	}
	used := heapInUse() - before
	runtime.KeepAlive(c)
	return used, nil
}

// shortestMicros runs fn five times and returns the shortest time, in microseconds.
func shortestMicros(fn func()) float64 {
	shortest := math.Inf(1)
	for range 5 {
		start := time.Now()
		fn()
		shortest = min(shortest, float64(time.Since(start).Nanoseconds())/1000)
	}
	return shortest
}

func changeTime(n int) (float64, error) {
	c, err := newConfig(n, 25)
	if err != nil {
		return 0, err
	}
	change := declare.Change{Puts: []declare.Envelope{{Object: newEngine(1, 25, 2)}}}
	return shortestMicros(func() { _, err = c.Apply(change) }), errors.Trace(err)
}

func compileTime(n int) (float64, error) {
	c, err := newConfig(100, n)
	if err != nil {
		return 0, err
	}
	return shortestMicros(func() { _, err = permit.Compile(c) }), errors.Trace(err)
}

func viewMemory(n int) (float64, error) {
	change := declare.Change{Puts: []declare.Envelope{
		{Object: declare.Region{Name: "r"}}, {Object: declare.DataCentre{Name: "d", Region: "r"}}, {Object: declare.Service{Name: "s", Type: declare.ServiceModel}},
	}}
	for e := range n {
		added := newEngine(e, 1, 0)
		added.Service, added.DataCentre = "s", "d"
		change.Puts = append(change.Puts, declare.Envelope{Object: added})
	}
	config, err := declare.Config{}.Apply(change)
	if err != nil {
		return 0, err
	}
	before := heapInUse()
	f := fleet.New("h", "r", time.Now, nil, route.PrefixBounded{}, 1)
	f.ApplyConfig(config, nil)
	used := heapInUse() - before
	runtime.KeepAlive(f)
	runtime.KeepAlive(config)
	return used, nil
}

// changeCommands returns the encoded commands of n changes, of one region each.
func changeCommands(n int) ([][]byte, error) {
	out := make([][]byte, n)
	for i := range n {
		change := declare.Change{ID: fmt.Sprintf("6ab04427-9282-484e-a4d3-%012d", i), Base: uint64(i), Author: "operator", Puts: []declare.Envelope{{Object: declare.Region{Name: fmt.Sprint("region-", i%20)}}}}
		data, err := json.Marshal(control.Command{Propose: &control.Propose{Change: change, At: time.Unix(1_700_000_000, 0)}})
		if err != nil {
			return nil, errors.Trace(err)
		}
		out[i] = data
	}
	return out, nil
}

func buildSnapshot(n int) ([]byte, error) {
	commands, err := changeCommands(n)
	if err != nil {
		return nil, err
	}
	s := control.NewState()
	for i, c := range commands {
		s.Apply(uint64(i), c)
	}
	return s.Snapshot()
}

func snapshotBytes(n int) (float64, error) {
	data, err := buildSnapshot(n)
	return float64(len(data)), errors.Trace(err)
}

func restartTime(n int) (float64, error) {
	commands, err := changeCommands(n)
	if err != nil {
		return 0, err
	}
	folder := disk.NewMemory()
	log, _, err := wal.Open(folder)
	if err != nil {
		return 0, errors.Trace(err)
	}
	for i, c := range commands {
		if err := log.Save(nil, []raft.Entry{{Index: uint64(i + 1), Term: 1, Data: c}}); err != nil {
			return 0, errors.Trace(err)
		}
	}
	micros := shortestMicros(func() { err = restart(folder) })
	return micros / 1000, errors.Trace(err)
}

func restart(folder disk.Folder) error {
	_, state, err := wal.Open(folder)
	if err != nil {
		return errors.Trace(err)
	}
	s := control.NewState()
	if len(state.Snapshot.Data) > 0 {
		if err := s.Restore(state.Snapshot.Data); err != nil {
			return errors.Trace(err)
		}
	}
	for _, e := range state.Entries {
		s.Apply(e.Index, e.Data)
	}
	return nil
}

func snapshotRestartTime(n int) (float64, error) {
	data, err := buildSnapshot(n)
	if err != nil {
		return 0, errors.Trace(err)
	}
	folder := disk.NewMemory()
	log, _, err := wal.Open(folder)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if err := log.Replace(raft.State{Snapshot: raft.Snapshot{Index: uint64(n), Term: 1, Data: data}}); err != nil {
		return 0, errors.Trace(err)
	}
	micros := shortestMicros(func() { err = restart(folder) })
	return micros / 1000, errors.Trace(err)
}

func hostStatus(host, services int) leader.HostStatus {
	s := leader.HostStatus{Host: fmt.Sprint("host-", host), DataCentre: "dc-1", Region: "region-1", Ready: true, InFlight: 100, Revision: 30_000}
	for i := range services {
		s.Services = append(s.Services, leader.ServiceLoad{Service: fmt.Sprint("service-", i), Slots: 100, Load: 50, ServiceTime: time.Second})
	}
	return s
}

// nextMessageBytes returns the size of a message on a connection that has sent others of
// its type. The first message is larger, as gob sends the type with it.
func nextMessageBytes(message any) (float64, error) {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	if err := encoder.Encode(message); err != nil {
		return 0, errors.Trace(err)
	}
	first := buffer.Len()
	err := encoder.Encode(message)
	return float64(buffer.Len() - first), errors.Trace(err)
}

func reportBytes(n int) (float64, error) {
	lease := control.HostReport{Host: "host-1", DataCentre: "dc-1", Incarnation: "6ab04427-9282-484e-a4d3-9ed71a3b1377", Established: true, Seq: 60_000}
	return nextMessageBytes(leader.ReportArgs{Reports: []leader.Report{{Lease: lease, Status: hostStatus(1, n)}}})
}

func membersBytes(n int) (float64, error) {
	var reply leader.MembersReply
	for h := range n {
		reply.Hosts = append(reply.Hosts, hostStatus(h, 0))
	}
	return nextMessageBytes(reply)
}

func regionsBytes(n int) (float64, error) {
	var reply leader.MembersReply
	for range n {
		reply.Regions = append(reply.Regions, leader.RegionLoad{Region: "region-10", Age: time.Second, Services: hostStatus(1, 25).Services})
	}
	return nextMessageBytes(reply)
}
