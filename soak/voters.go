// This file reads from the control hosts' logs which of them vote.

package soak

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

var (
	identityLine   = regexp.MustCompile(`msg="created replica identity" .*identity=(\S+)`)
	membershipLine = regexp.MustCompile(`msg="membership changed" .*index=(\d+) voters=(\S*)`)
)

// allVote reports whether the voters are the control hosts under the identities that they
// have now. A host that lost its data folder has a new one, and votes only once that is in
// a membership that was applied.
func (w *World) allVote() bool {
	var identities, voters []string
	created, newest := 0, -1
	for _, h := range w.controlHosts() {
		log, err := os.ReadFile(filepath.Join(w.Dir, h.Name+".log"))
		if err != nil {
			return false
		}
		all := identityLine.FindAllStringSubmatch(string(log), -1)
		if len(all) == 0 {
			return false
		}
		created += len(all)
		identities = append(identities, all[len(all)-1][1])
		for _, m := range membershipLine.FindAllStringSubmatch(string(log), -1) {
			if index, err := strconv.Atoi(m[1]); err == nil && index > newest {
				newest, voters = index, strings.Split(m[2], ",")
			}
		}
	}
	if created == len(identities) {
		return true // none has lost its folder
	}
	slices.Sort(identities)
	slices.Sort(voters)
	return slices.Equal(identities, voters)
}
