package main

import (
	"sort"
	"strconv"
	"time"

	"github.com/linenscale/linenscale/leader"
)

// hostRows returns one table row per host. It sorts hosts in place, by region and name.
func hostRows(hosts []leader.HostStatus) [][]string {
	sort.Slice(hosts, func(i, j int) bool {
		a, b := hosts[i], hosts[j]
		if a.Region != b.Region {
			return a.Region < b.Region
		}
		return a.Host < b.Host
	})
	rows := make([][]string, 0, len(hosts))
	for _, h := range hosts {
		keys := ""
		if h.KeyLeader {
			keys = "leads"
		}
		rows = append(rows, []string{
			h.Region, h.DataCentre, h.Host, strconv.FormatBool(h.Ready), strconv.FormatUint(h.Revision, 10),
			strconv.Itoa(h.InFlight), keys, h.Age.Round(time.Millisecond).String(),
		})
	}
	return rows
}
