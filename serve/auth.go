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

// HashToken returns the hexadecimal SHA-256 hash of a token, which is stored in
// notes and settings in place of the token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// teamIndex maps token hashes to team names. It is built for one configuration
// and is immutable.
type teamIndex struct {
	state      *note.State
	nameByHash map[string]string
}

// authenticator checks the tokens of teams and operators. It is safe for
// concurrent use.
type authenticator struct {
	index        atomic.Pointer[teamIndex]
	operatorHash string
}

// indexFor returns the index of configuration s and builds it if s has changed.
func (a *authenticator) indexFor(s *note.State) *teamIndex {
	idx := a.index.Load()
	if idx != nil && idx.state == s {
		return idx
	}
	idx = &teamIndex{state: s, nameByHash: make(map[string]string, len(s.Teams))}
	for name, t := range s.Teams {
		idx.nameByHash[t.TokenHash] = name
	}
	a.index.Store(idx)
	return idx
}

// authenticateTeam returns the team whose bearer token is in r, or a
// *contract.Refusal if there is no such team.
func (a *authenticator) authenticateTeam(r *http.Request, s *note.State) (note.Team, error) {
	token, ok := bearerToken(r)
	if !ok {
		return note.Team{}, contract.Refuse(http.StatusUnauthorized, contract.ReasonUnauthenticated, "a bearer token is needed")
	}
	name, ok := a.indexFor(s).nameByHash[HashToken(token)]
	if !ok {
		return note.Team{}, contract.Refuse(http.StatusUnauthorized, contract.ReasonUnauthenticated, "the token names no team")
	}
	return s.Teams[name], nil
}

// checkOperator returns a *contract.Refusal unless r has the operators' bearer
// token.
func (a *authenticator) checkOperator(r *http.Request) error {
	token, ok := bearerToken(r)
	if ok && subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(a.operatorHash)) == 1 {
		return nil
	}
	return contract.Refuse(http.StatusUnauthorized, contract.ReasonUnauthenticated, "the operators' token is needed")
}

// bearerToken returns the bearer token of r, and false if there is none.
func bearerToken(r *http.Request) (string, bool) {
	return strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

// authorizeService returns a *contract.Refusal unless the team may call the
// service.
func authorizeService(t note.Team, service string) error {
	if slices.Contains(t.Services, service) {
		return nil
	}
	return contract.Refuse(http.StatusForbidden, contract.ReasonForbidden, "the team may not call service "+service)
}
