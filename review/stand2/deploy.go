package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of the hosts, the same on all of them. Each host has a loopback address of its own.
const (
	frontPort     = 8144
	readyPort     = 8140
	controlPort   = 8146
	directoryPort = 8143
	enginePort    = 8080
)

// place is a zone and its region.
type place struct{ zone, region string }

// places are those of the small site.
var places = []place{{"tunis-lac", "tunis"}, {"sfax-thyna", "sfax"}, {"marseille-joliette", "marseille"}}

// host is one machine of the system, with one process.
type host struct {
	name    string
	ip      string
	process *exec.Cmd
	ended   chan struct{} // closed once the process has ended
	exit    error
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec      *recorder
	folder   string // temporary, for settings, data and logs
	program  string
	network  string // the first three numbers of all addresses
	extra    string // lines added to each host's settings
	controls []*host
	gateways []*host
	httpc    *http.Client
}

// newDeployment chooses free loopback addresses.
func newDeployment(rec *recorder, program string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder, program: program, httpc: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d", 32+rand.IntN(90), 1+rand.IntN(250))
		if d.isFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// isFree reports whether nothing listens on the addresses of the network that the case needs.
func (d *deployment) isFree() bool {
	for last := range 40 {
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, enginePort, 7660, 7661, 9464} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.network, last+1, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func (d *deployment) ip(last int) string { return fmt.Sprintf("%s.%d", d.network, last) }

// seeds lists the control addresses of the three control hosts.
func (d *deployment) seeds() []string {
	return []string{d.ip(1) + ":8146", d.ip(2) + ":8146", d.ip(3) + ":8146"}
}

// settings returns a host's settings, as deploy/host.yaml.tmpl lays them out for the small site.
func (d *deployment) settings(name, role, ip string, at place, first bool) string {
	listen := fmt.Sprintf("  callers: %s:%d\n  ready: %s:%d\n", ip, frontPort, ip, readyPort)
	limits := "memory_mb: 284\ncpu_share: 0.4\ncores: 1\nlink_mbps: 1000.0\n"
	data := ""
	if role == "control" {
		listen = fmt.Sprintf("  operators: %s:%d\n  directory: %s:%d\n", ip, controlPort, ip, directoryPort)
		limits = "memory_mb: 280\ncpu_share: 0.48\ncores: 1\nlink_mbps: 1000.0\n"
		data = "data_dir: " + filepath.Join(d.folder, name+"-data") + "\n"
	}
	seeds, _ := json.Marshal(d.seeds())
	zones := make(map[string]string)
	for _, p := range places {
		zones[p.zone] = p.region
	}
	regions, _ := json.Marshal(zones)
	return fmt.Sprintf("name: %s\nrole: %s\nregion: %s\ndata_centre: %s\nip: %s\nports: [7660,7675]\nlisten:\n%s  metrics: %s:9464\nseeds: %s\nfirst_start: %t\n%sregions: %s\nlosses: 1\nheartbeat: 1200ms\nstop_time: 8s\n%sretries:\n  share: 0.2\n  extra: 58\n  window: 10s\n%s",
		name, role, at.region, at.zone, ip, listen, ip, seeds, first, data, regions, limits, d.extra)
}

// startProcess starts a host's process with the command of the deploy file.
func (d *deployment) startProcess(h *host) error {
	log, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.program, "member")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "LINENSCALE_SETTINGS=" + filepath.Join(d.folder, h.name+".yaml")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.process, h.ended = cmd, make(chan struct{})
	ended := h.ended
	go func() {
		h.exit = cmd.Wait()
		close(ended)
	}()
	d.rec.printf("started %s at %s", h.name, h.ip)
	return nil
}

// addHost writes a host's settings and starts its process.
func (d *deployment) addHost(name, role, ip string, at place, first bool) (*host, error) {
	h := &host{name: name, ip: ip}
	text := d.settings(name, role, ip, at, first)
	if err := os.WriteFile(filepath.Join(d.folder, name+".yaml"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	return h, d.startProcess(h)
}

// start starts three control hosts and, in each zone, so many gateways.
func (d *deployment) start(gatewaysPerZone [3]int) error {
	for i, at := range places {
		h, err := d.addHost("core-"+at.zone, "control", d.ip(i+1), at, true)
		if err != nil {
			return err
		}
		d.controls = append(d.controls, h)
	}
	last := 10
	for i, at := range places {
		for n := range gatewaysPerZone[i] {
			last++
			h, err := d.addHost(fmt.Sprintf("front-%s-%d", at.zone, n+1), "gateway", d.ip(last), at, true)
			if err != nil {
				return err
			}
			d.gateways = append(d.gateways, h)
		}
	}
	return nil
}

// signal sends a signal to a host's process.
func (d *deployment) signal(h *host, s syscall.Signal) {
	d.rec.printf("%v to %s", s, h.name)
	_ = h.process.Process.Signal(s)
}

// running reports whether a host's process has not ended.
func (h *host) running() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// waitReady waits until every gateway answers its readiness question with 200.
func (d *deployment) waitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, h := range d.gateways {
		for {
			resp, err := d.httpc.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, readyPort))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that the case started, and removes the temporary folder.
func (d *deployment) stop() {
	for _, h := range append(append([]*host{}, d.controls...), d.gateways...) {
		if h.process != nil && h.running() {
			_ = h.process.Process.Signal(syscall.SIGCONT)
			_ = h.process.Process.Kill()
			<-h.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
		return
	}
	fmt.Fprintln(os.Stderr, "kept", d.folder)
}
