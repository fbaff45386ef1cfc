package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The ports of the users' example settings, the same on all hosts.
const (
	frontPort     = 8144
	readyPort     = 8140
	controlPort   = 8146
	directoryPort = 8143
	firstPeerPort = 7660
	lastPeerPort  = 7675
	metricsPort   = 9464
)

// Zone is a zone with its region.
type Zone struct{ Name, Region string }

// Zones are those of the site atrs-liens.
var Zones = []Zone{{"tunis-lac", "tunis"}, {"sfax-thyna", "sfax"}, {"marseille-joliette", "marseille"}}

// Host is one machine, with one process.
type Host struct {
	Name    string
	Zone    Zone
	IP      string
	Control bool

	dir     string
	bootSet bool
	cmd     *exec.Cmd
	done    chan struct{}
}

// Front returns the address for clients.
func (h *Host) Front() string { return address(h.IP, frontPort) }

// ControlAddress returns the address for the operator and for engines.
func (h *Host) ControlAddress() string { return address(h.IP, controlPort) }

// Deployment is a set of hosts, three of which serve control, one in each zone.
type Deployment struct {
	Controls, Fronts []*Host

	// ExtraSettings are lines that are added to the settings of each host.
	ExtraSettings string

	record  *Record
	program string
	dir     string
	network string // the first three numbers of the hosts' addresses
	engines int
	starts  chan func()
}

// Start starts the program as one control host and so many gateways in each zone.
func Start(record *Record, program string, fronts int, extraSettings string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{record: record, program: program, dir: dir, ExtraSettings: extraSettings, starts: make(chan func())}
	go d.startProcesses()
	if d.network, err = freeNetwork(); err != nil {
		return d, err
	}
	for i, zone := range Zones {
		d.Controls = append(d.Controls, &Host{Name: "core-" + zone.Name + "-1", Zone: zone, IP: fmt.Sprintf("%s.%d", d.network, i+1), Control: true})
		for n := range fronts {
			d.Fronts = append(d.Fronts, &Host{Name: fmt.Sprintf("front-%s-%d", zone.Name, n+1), Zone: zone, IP: fmt.Sprintf("%s.%d", d.network, 10*(i+1)+n)})
		}
	}
	for _, h := range d.Hosts() {
		h.dir = filepath.Join(dir, h.Name)
		if err := os.Mkdir(h.dir, 0o700); err != nil {
			return d, err
		}
		if err := d.StartHost(h); err != nil {
			return d, err
		}
	}
	return d, nil
}

// Hosts returns all hosts.
func (d *Deployment) Hosts() []*Host {
	return append(append([]*Host(nil), d.Controls...), d.Fronts...)
}

// FrontsIn returns the gateways of a region.
func (d *Deployment) FrontsIn(region string) []*Host {
	var out []*Host
	for _, h := range d.Fronts {
		if h.Zone.Region == region {
			out = append(out, h)
		}
	}
	return out
}

// freeNetwork returns a loopback network of which no address that is used here is taken.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if isFree(network) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback network")
}

func isFree(network string) bool {
	for _, number := range []int{1, 2, 3, 10, 20, 30} {
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, firstPeerPort, firstPeerPort + 1, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, number, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// settings returns the settings of a host as deploy/host.yaml.tmpl lays them out for the site.
func (d *Deployment) settings(h *Host) string {
	var b strings.Builder
	role := "gateway"
	if h.Control {
		role = "control"
	}
	fmt.Fprintf(&b, "name: %s\nrole: %s\nregion: %s\ndata_centre: %s\nip: %s\nports: [%d,%d]\nlisten:\n", h.Name, role, h.Zone.Region, h.Zone.Name, h.IP, firstPeerPort, lastPeerPort)
	if h.Control {
		fmt.Fprintf(&b, "  operators: %s\n  directory: %s\n", h.ControlAddress(), address(h.IP, directoryPort))
	} else {
		fmt.Fprintf(&b, "  callers: %s\n  ready: %s\n", h.Front(), address(h.IP, readyPort))
	}
	fmt.Fprintf(&b, "  metrics: %s\n", address(h.IP, metricsPort))
	seeds, regions := []string{}, map[string]string{}
	for i, zone := range Zones {
		seeds = append(seeds, address(fmt.Sprintf("%s.%d", d.network, i+1), controlPort))
		regions[zone.Name] = zone.Region
	}
	fmt.Fprintf(&b, "seeds: %s\nfirst_start: %v\n", toJSON(seeds), !h.bootSet)
	if h.Control {
		fmt.Fprintf(&b, "data_dir: %s\n", filepath.Join(h.dir, "data"))
	}
	fmt.Fprintf(&b, "regions: %s\nlosses: 1\nheartbeat: 1200ms\nstop_time: 8s\n", toJSON(regions))
	memory, share := 284, 0.4
	if h.Control {
		memory, share = 280, 0.48
	}
	fmt.Fprintf(&b, "memory_mb: %d\ncpu_share: %v\ncores: 1\nlink_mbps: 1000.0\nretries:\n  share: 0.2\n  extra: 58\n  window: 10s\n", memory, share)
	return b.String() + d.ExtraSettings
}

func toJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// StartHost starts a host's process with the command of the deploy file. Only its first start
// is one of the whole system.
func (d *Deployment) StartHost(h *Host) error {
	started := make(chan error)
	d.starts <- func() { started <- d.startProcess(h) }
	return <-started
}

// startProcesses runs starts on one thread that never ends: the kernel ends a process when the
// thread that started it does.
func (d *Deployment) startProcesses() {
	runtime.LockOSThread()
	for start := range d.starts {
		start()
	}
}

func (d *Deployment) startProcess(h *Host) error {
	path := filepath.Join(h.dir, "settings.yaml")
	if err := os.WriteFile(path, []byte(d.settings(h)), 0o600); err != nil {
		return err
	}
	h.bootSet = true
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command(d.program, "member")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LINENSCALE_SETTINGS=" + path}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the case
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		d.record.Printf("process of %s ended: %v", h.Name, err)
		close(done)
	}(h.cmd, h.done)
	d.record.Printf("started %s at %s, process %d", h.Name, h.IP, h.cmd.Process.Pid)
	return nil
}

// Signal sends a signal to a host's process.
func (d *Deployment) Signal(h *Host, signal syscall.Signal) {
	d.record.Printf("signal %v to %s", signal, h.Name)
	_ = h.cmd.Process.Signal(signal)
}

// Kill ends a host's process at once and waits until it is gone.
func (d *Deployment) Kill(h *Host) {
	d.Signal(h, syscall.SIGKILL)
	<-h.done
}

// Running reports whether a host's process runs.
func (h *Host) Running() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// Stop ends all processes and removes the folder. It keeps the folder if keep is set.
func (d *Deployment) Stop(keep bool) {
	for _, h := range d.Hosts() {
		if h.cmd != nil && h.cmd.Process != nil && h.Running() {
			_ = h.cmd.Process.Kill()
			<-h.done
		}
	}
	if keep {
		fmt.Println("logs are in", d.dir)
		return
	}
	os.RemoveAll(d.dir)
}

// Log returns what a host's process has written.
func (d *Deployment) Log(h *Host) string {
	data, err := os.ReadFile(filepath.Join(h.dir, "log"))
	if err != nil {
		return ""
	}
	return string(data)
}

// EngineAddress returns a loopback address for an engine.
func (d *Deployment) EngineAddress() string {
	d.engines++
	return fmt.Sprintf("%s.%d:0", d.network, 100+d.engines)
}

var operator = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Put sends a config to the control hosts in turn, as the operator does, until one confirms it.
func (d *Deployment) Put(config Config, within time.Duration) error {
	return d.PutAt(config, within, d.Controls)
}

// PutAt is Put for some control hosts, in their order.
func (d *Deployment) PutAt(config Config, within time.Duration, hosts []*Host) error {
	body := []byte(toJSON(config))
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, h := range hosts {
			status, err := d.call(http.MethodPost, "http://"+h.ControlAddress()+"/config/put", body, nil)
			d.record.Printf("config %d sent to %s: status %d, error %v", config.ConfigVersion, h.Name, status, err)
			if err == nil && status == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("config %d was not confirmed", config.ConfigVersion)
}

// call makes one call to a control host.
func (d *Deployment) call(method, url string, body []byte, answer *[]byte) (int, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := operator.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if answer != nil {
		*answer = data
	}
	return resp.StatusCode, err
}

// WaitReady waits until every gateway says at its Ready address that it is ready.
func (d *Deployment) WaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, h := range d.Fronts {
		for {
			status, err := d.call(http.MethodGet, "http://"+address(h.IP, readyPort)+"/ready", nil, nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready: status %d, error %v", h.Name, status, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.record.Printf("all gateways are ready")
	return nil
}

// Resolve asks the directories for the gateways that a client should use, the one in the
// client's zone first.
func (d *Deployment) Resolve(name string, zone Zone) ([]string, error) {
	var near, far []*Host
	for _, h := range d.Controls {
		if h.Zone == zone {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	query := url.Values{"Name": {name}, "Region": {zone.Region}, "Zone": {zone.Name}}.Encode()
	var lastErr error
	for _, h := range append(near, far...) {
		var data []byte
		status, err := d.call(http.MethodGet, "http://"+address(h.IP, directoryPort)+"/resolve?"+query, nil, &data)
		var answer struct {
			Addresses []string
			TtlS      float64 //revive:disable-line:var-naming the name on the wire
		}
		if err == nil && status == http.StatusOK {
			if err = json.Unmarshal(data, &answer); err == nil && len(answer.Addresses) > 0 {
				d.record.Printf("directory %s names %v to clients of %s", h.Name, answer.Addresses, zone.Name)
				return answer.Addresses, nil
			}
		}
		lastErr = fmt.Errorf("directory %s: status %d, error %v", h.Name, status, err)
	}
	return nil, lastErr
}

// Dir returns the temporary folder, in which each host has a folder of its name.
func (d *Deployment) Dir() string { return d.dir }

// LogNumber returns the number of a control host's newest log file. A snapshot begins a new one.
func (d *Deployment) LogNumber(h *Host) (string, error) {
	names, err := filepath.Glob(filepath.Join(h.dir, "data", "log-????????????????"))
	if err != nil || len(names) == 0 {
		return "", fmt.Errorf("%s has no log file (error %v)", h.Name, err)
	}
	return slices.Max(names), nil
}

// LastLogField returns the value of a field in the last line with that message that a host's
// process has written; "" if there is none.
func (d *Deployment) LastLogField(h *Host, message, field string) string {
	value := ""
	for line := range strings.Lines(d.Log(h)) {
		if !strings.Contains(line, message) {
			continue
		}
		if _, rest, ok := strings.Cut(line, " "+field+"="); ok {
			value, _, _ = strings.Cut(strings.TrimSpace(rest), " ")
		}
	}
	return value
}
