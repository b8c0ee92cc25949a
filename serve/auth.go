package serve

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"redwingknot/contract"
	"redwingknot/note"
)

const bearerPrefix = "Bearer "

// HashToken returns the form in which notes and settings hold a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// teamIndex finds teams by the hash of their token. An index belongs to one
// configuration and is not changed.
type teamIndex struct {
	state  *note.State
	byHash map[string]string
}

// authenticator finds the team of a request. It is safe for concurrent use.
type authenticator struct {
	index        atomic.Pointer[teamIndex]
	operatorHash string
}

func (a *authenticator) indexOf(s *note.State) *teamIndex {
	idx := a.index.Load()
	if idx != nil && idx.state == s {
		return idx
	}
	idx = &teamIndex{state: s, byHash: make(map[string]string, len(s.Teams))}
	for name, t := range s.Teams {
		idx.byHash[t.TokenHash] = name
	}
	a.index.Store(idx)
	return idx
}

// team returns the team whose token r bears.
func (a *authenticator) team(r *http.Request, s *note.State) (note.Team, error) {
	token, ok := bearer(r)
	if !ok {
		return note.Team{}, contract.Refuse(http.StatusUnauthorized, contract.ReasonUnauthenticated, "a bearer token is needed")
	}
	name, ok := a.indexOf(s).byHash[HashToken(token)]
	if !ok {
		return note.Team{}, contract.Refuse(http.StatusUnauthorized, contract.ReasonUnauthenticated, "the token names no team")
	}
	return s.Teams[name], nil
}

// operator checks that r bears the operators' token.
func (a *authenticator) operator(r *http.Request) error {
	token, ok := bearer(r)
	if ok && subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(a.operatorHash)) == 1 {
		return nil
	}
	return contract.Refuse(http.StatusUnauthorized, contract.ReasonUnauthenticated, "the operators' token is needed")
}

func bearer(r *http.Request) (string, bool) {
	return strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

// mayCall checks that a team may call a service.
func mayCall(t note.Team, service string) error {
	if slices.Contains(t.Services, service) {
		return nil
	}
	return contract.Refuse(http.StatusForbidden, contract.ReasonForbidden, "the team may not call service "+service)
}
