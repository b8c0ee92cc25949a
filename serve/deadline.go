package serve

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/retry"
)

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
