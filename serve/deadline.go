package serve

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/note"
	"redwingknot/retry"
)

// checkLimits returns the deadline and the maximum number of attempts of a request
// from its headers and its class, refuses it if this instance may stop before the
// deadline, and applies the team's limit. Errors are of type *contract.Refusal.
func (s *Server) checkLimits(r *http.Request, team note.Team, class contract.Class, started time.Time) (deadline time.Time, attempts int, err error) {
	deadline, err = requestDeadline(r.Header, class, started)
	if err != nil {
		return deadline, 0, err
	}
	attempts, err = retry.Attempts(r.Header, s.opts.MaxAttempts)
	if err != nil {
		return deadline, 0, malformed(err.Error())
	}
	if err := s.CheckEnd(deadline); err != nil {
		return deadline, 0, err
	}
	return deadline, attempts, s.checkTeamLimit(team)
}

// requestDeadline returns the time by which the whole answer must have been
// delivered. The time budget in the request headers can only shorten the deadline
// of the class.
func requestDeadline(h http.Header, class contract.Class, now time.Time) (time.Time, error) {
	deadline, err := retry.Deadline(h, now.Add(class.Deadline), now)
	var malformedHeader *retry.HeaderError
	switch {
	case err == nil:
		return deadline, nil
	case errors.As(err, &malformedHeader):
		return deadline, malformed(malformedHeader.Error())
	}
	return deadline, contract.Refuse(http.StatusGatewayTimeout, contract.ReasonDeadline, "the caller's budget is spent")
}
