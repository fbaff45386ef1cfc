// This file defines GET /v1/entries, which lists the entry hosts that a caller may use.

package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/request"
)

// entriesTTL is the time for which callers may use a list.
const entriesTTL = 5 * time.Second

// Entry is an entry host that a caller may use.
type Entry struct {
	Host       string `json:"host"`
	URL        string `json:"url"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// EntryList is the answer to GET /v1/entries. Callers should try the hosts in the given
// order.
type EntryList struct {
	Entries []Entry `json:"entries"`
	// TTL is the time for which the list may be used, in milliseconds.
	TTL int64 `json:"ttl_ms"`
	// Revision is the revision of the configuration from which the list was made.
	Revision uint64 `json:"revision"`
}

// serveEntries answers GET /v1/entries?service=…&home=…. Hosts in the same data centre are
// listed in random order. This spreads callers over them without shared counters.
func (s *Server) serveEntries(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	guard, config, err := s.Authority.Serving()
	if err != nil {
		s.writeError(w, r, request.Request{}, request.AsRefusal(err))
		return
	}
	query := r.URL.Query()
	req := request.Request{Service: query.Get("service"), HomeRegion: query.Get("home"), Class: request.ClassStandard}
	if _, ok := config.Service(req.Service); req.Service != "" && !ok {
		s.writeError(w, r, req, &request.NotRun{Reason: request.ReasonUnknownService, Message: "service " + quote(req.Service) + " is not declared"})
		return
	}
	if req.HomeRegion == "" {
		req.HomeRegion = s.place.Region
	}
	list := EntryList{TTL: entriesTTL.Milliseconds(), Revision: config.Revision()}
	for _, host := range shuffleWithinDataCentres(s.Peers.EntryHosts(), s.Random) {
		place := permit.Place{Region: config.RegionOf(host.DataCentre), DataCentre: host.DataCentre}
		if ok, _ := guard.PermitsRegion(req, place); req.Service != "" && !ok {
			continue
		}
		list.Entries = append(list.Entries, Entry{host.Name, "http://" + host.Callers, place.Region, place.DataCentre})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age=5")
	_ = json.NewEncoder(w).Encode(list)
}

// shuffleWithinDataCentres shuffles the hosts of each data centre among themselves. Hosts
// of one data centre must be adjacent; the order of data centres, from near to far, is
// kept.
func shuffleWithinDataCentres(hosts []declare.Host, random func() uint64) []declare.Host {
	shuffled := append([]declare.Host(nil), hosts...)
	for start := 0; start < len(shuffled); {
		end := start + 1
		for end < len(shuffled) && shuffled[end].DataCentre == shuffled[start].DataCentre {
			end++
		}
		group := shuffled[start:end]
		for i := len(group) - 1; i > 0; i-- {
			j := int(random() % uint64(i+1))
			group[i], group[j] = group[j], group[i]
		}
		start = end
	}
	return shuffled
}
