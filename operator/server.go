// Package operator serves the operators' interface, HTTP with JSON on any entry host, and
// provides a client for it.
//
// The configuration, history and outcomes of changes are linearizable reads of the control
// log, confirmed by a quorum. Status also works without a leader, when operators need it
// most; it then returns the host's own cached state.
package operator

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/agent"
	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/leader"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
	"github.com/linenscale/linenscale/voters"
)

// Limits of the interface.
const (
	changeTimeout     = 15 * time.Second
	stateTimeout      = 5 * time.Second
	maxChangeBytes    = 64 << 20 // bytes
	readHeaderTimeout = 5 * time.Second
)

// Server is the HTTP server of the operators' interface. NewServer creates one.
type Server struct {
	agent   *agent.Agent
	fleet   *fleet.Fleet
	metrics http.Handler
	log     *zap.Logger
}

// NewServer returns a server for one host. metrics serves /metrics.
func NewServer(a *agent.Agent, f *fleet.Fleet, metrics http.Handler, log *zap.Logger) *Server {
	return &Server{a, f, metrics, log}
}

// Run serves a listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "operators")
	}
	return nil
}

// Handler returns the handler for all paths of the interface.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/v1/status", s.status)
	r.GET("/v1/config", s.config)
	r.POST("/v1/changes", s.change)
	r.GET("/v1/changes/:id", s.outcome)
	r.GET("/v1/history", s.history)
	r.GET("/v1/drain/:engine", s.drain)
	r.GET("/v1/explain", s.explain)
	r.Handler(http.MethodGet, "/metrics", s.metrics)
	r.HandlerFunc(http.MethodGet, "/debug/pprof/profile", pprof.Profile)
	r.Handler(http.MethodGet, "/debug/pprof/heap", pprof.Handler("heap"))
	return r
}

// Status is the answer to GET /v1/status. Without a leader, LeaderReached is false and Hosts is
// the cached state of the queried host.
type Status struct {
	QueriedHost   agent.LeaseStatus   `json:"asked"` // the host that answers
	LeaderReached bool                `json:"leader_reached"`
	Leader        string              `json:"leader,omitempty"`
	Term          uint64              `json:"term,omitempty"`
	Voters        []string            `json:"voters,omitempty"`
	Learners      []string            `json:"learners,omitempty"`
	Revision      uint64              `json:"revision"`
	Pending       string              `json:"pending,omitempty"`
	Hosts         []leader.HostStatus `json:"hosts"`
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), stateTimeout)
	defer cancel()
	status := Status{QueriedHost: s.agent.LeaseStatus()}
	status.Revision = status.QueriedHost.Revision
	state, err := s.agent.State(ctx, leader.StateArgs{})
	if err != nil {
		status.Hosts = s.agent.HostStatuses()
		reply(w, http.StatusOK, status)
		return
	}
	status.LeaderReached = true
	status.Leader, status.Term = voters.HostOf(state.Raft.Leader), state.Raft.Term
	for _, id := range state.Raft.Members.Voters {
		status.Voters = append(status.Voters, string(id))
	}
	for _, id := range state.Raft.Members.Learners {
		status.Learners = append(status.Learners, string(id))
	}
	status.Revision = state.View.Config.Revision()
	if state.View.Pending != nil {
		status.Pending = state.View.Pending.Change.ID
	}
	status.Hosts = state.Hosts
	reply(w, http.StatusOK, status)
}

func (s *Server) config(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), stateTimeout)
	defer cancel()
	state, err := s.agent.State(ctx, leader.StateArgs{})
	if err != nil {
		unavailable(w, err)
		return
	}
	reply(w, http.StatusOK, state.View.Config)
}

func (s *Server) change(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var change declare.Change
	if err := json.NewDecoder(io.LimitReader(r.Body, maxChangeBytes)).Decode(&change); err != nil {
		reply(w, http.StatusBadRequest, control.Outcome{Status: control.StatusInvalid, Why: "the change can't be read: " + err.Error()})
		return
	}
	if change.ID == "" || len(change.Puts)+len(change.Deletes) == 0 {
		reply(w, http.StatusBadRequest, control.Outcome{Status: control.StatusInvalid, Why: "a change needs an ID and something to put or delete"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	got, err := s.agent.Propose(ctx, change, changeTimeout)
	if err != nil {
		unavailable(w, err)
		return
	}
	out := got.Outcome
	s.log.Info("change", zap.String("change", change.ID), zap.String("author", change.Author), zap.String("status", string(out.Status)), zap.Uint64("revision", out.Revision))
	reply(w, httpStatus(out), out)
}

// httpStatus returns the HTTP status of the answer to a change.
func httpStatus(out control.Outcome) int {
	switch out.Status {
	case control.StatusAccepted:
		return http.StatusOK
	case control.StatusPending, control.StatusBusy:
		return http.StatusAccepted
	case control.StatusStale, control.StatusConflict:
		return http.StatusConflict
	case control.StatusInvalid:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *Server) outcome(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), stateTimeout)
	defer cancel()
	state, err := s.agent.State(ctx, leader.StateArgs{ID: params.ByName("id")})
	switch {
	case err != nil:
		unavailable(w, err)
	case state.Outcome == nil:
		reply(w, http.StatusNotFound, control.Outcome{Status: control.StatusInvalid, Why: "no change with this ID is known"})
	default:
		reply(w, http.StatusOK, state.Outcome)
	}
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), stateTimeout)
	defer cancel()
	state, err := s.agent.State(ctx, leader.StateArgs{After: after})
	if err != nil {
		unavailable(w, err)
		return
	}
	reply(w, http.StatusOK, state.History)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	drain, err := s.agent.DrainStatus(r.Context(), params.ByName("engine"))
	if errors.Is(err, errors.NotFound) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, drain)
}

// Explanation is the answer to GET /v1/explain.
type Explanation struct {
	Revision     uint64              `json:"revision"`
	LeaseDenial  string              `json:"lease"` // why the host serves nothing, or empty
	RegionDenial string              `json:"here"`  // why the request isn't permitted in this region, or empty
	Regions      []ExplainedRegion   `json:"regions"`
	Engines      []route.EngineScore `json:"engines"` // the engines of this region
}

// ExplainedRegion is the state of a region, and whether the request is permitted there.
type ExplainedRegion struct {
	route.Digest
	Permitted bool `json:"permitted"`
}

// explain reports the regions and engines that are eligible for a request with the
// properties in the query.
func (s *Server) explain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	req := request.Request{
		Service: q.Get("service"), HomeRegion: q.Get("home"), Account: q.Get("account"),
		Class: request.Class(q.Get("class")), Model: q.Get("model"), Deadline: time.Now().Add(time.Minute),
	}
	var out Explanation
	guard, config, err := s.agent.Serving()
	if err != nil {
		out.LeaseDenial = err.Error()
		reply(w, http.StatusOK, out)
		return
	}
	out.Revision = config.Revision()
	here := permit.Place{Region: s.agent.Host.Region, DataCentre: s.agent.Host.DataCentre}
	if ok, why := guard.PermitsRegion(req, here); !ok {
		out.RegionDenial = why
	}
	for _, d := range s.agent.RegionDigests(req.Service) {
		ok, _ := guard.PermitsRegion(req, permit.Place{Region: d.Region})
		out.Regions = append(out.Regions, ExplainedRegion{d, ok})
	}
	out.Engines = s.fleet.Explain(fleet.SlotRequest{
		Request:   req,
		Permitted: func(place permit.Place, labels declare.Labels) bool { return guard.PermitsEngine(req, place, labels) },
	})
	reply(w, http.StatusOK, out)
}

func unavailable(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
