package relay

import (
	"strconv"

	"redwingknot/fleet"
)

// partition names the part of the prompt cache that a request may use and add
// to: that of its model's weights, and of its team if the team is isolated.
func partition(model string, weights int64, team *fleet.Team) string {
	p := model + "." + strconv.FormatInt(weights, 10)
	if team != nil && team.Isolated {
		p += "." + team.Name
	}
	return p
}

func appendLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, "\r\n"...)
}

// plan fills in where the parts of a prompt are fetched from and saved to.
func (s *Server) plan(*run, *pick, *Dispatch) {}
