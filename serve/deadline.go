package serve

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/note"
	"redwingknot/retry"
)

// accept reads a checked request's deadline and attempts from its header and
// applies the team's limit.
func (s *Server) accept(r *http.Request, team note.Team, class contract.Class, started time.Time) (deadline time.Time, attempts int, err error) {
	deadline, err = requestDeadline(r.Header, class, started)
	if err != nil {
		return deadline, 0, err
	}
	attempts, err = retry.Attempts(r.Header, s.o.MaxAttempts)
	if err != nil {
		return deadline, 0, malformed(err.Error())
	}
	return deadline, attempts, s.limit(team)
}

// requestDeadline returns when the whole answer must have ended. The caller's
// budget can only shorten what the class allows.
func requestDeadline(h http.Header, class contract.Class, now time.Time) (time.Time, error) {
	at, err := retry.Deadline(h, now.Add(class.Deadline), now)
	var malformedHeader *retry.HeaderError
	switch {
	case err == nil:
		return at, nil
	case errors.As(err, &malformedHeader):
		return at, malformed(malformedHeader.Error())
	}
	return at, contract.Refuse(http.StatusGatewayTimeout, contract.ReasonDeadline, "the caller's budget is spent")
}
