package table

import (
	"strings"
	"time"
)

// Kind is the way in which a caller receives the result of work on a route.
type Kind string

// The kinds of work.
const (
	// KindRequest is work whose caller waits for the response.
	KindRequest Kind = "request"
	// KindTask is queued work whose result is queried later.
	KindTask Kind = "task"
)

// Urgency is the priority of work that waits for the same pool.
type Urgency string

// The urgencies, most urgent first.
const (
	UrgencyUrgent Urgency = "urgent"
	UrgencyNormal Urgency = "normal"
	UrgencyLong   Urgency = "long"
)

// Rank returns the position of the urgency, starting at 0 for the most urgent.
func (urg Urgency) Rank() int {
	switch urg {
	case UrgencyUrgent:
		return 0
	case UrgencyNormal:
		return 1
	default:
		return 2
	}
}

// Team is a customer with a share of the fleet and an upper limit.
type Team struct {
	// Name is unique among the teams.
	Name string `toml:"name" json:"name"`
	// Share is the team's weight when the fleet is full; at least 1.
	Share int `toml:"share" json:"share"`
	// Limit is the maximum number of pieces of the team's work that run
	// fleet-wide; at least 1.
	Limit int `toml:"limit" json:"limit"`
}

// Route maps a kind of work to the pool that runs it and the teams that may
// submit it.
type Route struct {
	// Name is unique among the routes. For tasks it is the name of the queue.
	Name string `toml:"name" json:"name"`
	Kind Kind   `toml:"kind" json:"kind"`
	// Path is the prefix of the request paths that match the route. It begins
	// with a slash, is unique, and is empty for tasks.
	Path string `toml:"path,omitempty" json:"path,omitempty"`
	// Pool names a pool in the table of pools.
	Pool    string  `toml:"pool" json:"pool"`
	Urgency Urgency `toml:"urgency" json:"urgency"`
	// Repeatable reports whether running the work twice is harmless, regardless
	// of its HTTP method.
	Repeatable bool `toml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Deadline is the maximum time for the work to wait and run. It is
	// positive.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// MaxBodyBytes bounds the body of a request or the payload of a task.
	MaxBodyBytes int64 `toml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty"`
	// Teams lists the teams that may use the route; empty means every team.
	Teams []string `toml:"teams,omitempty" json:"teams,omitempty"`
	// OpenTeam, if set, opens the route to callers without a key; their work is
	// attributed to that team.
	OpenTeam string `toml:"open_team,omitempty" json:"open_team,omitempty"`
}

// Allows reports whether a team may use the route.
func (rou Route) Allows(team string) bool {
	if len(rou.Teams) == 0 {
		return true
	}
	for _, name := range rou.Teams {
		if name == team {
			return true
		}
	}
	return false
}

// Duration is a time span with a text form such as "1.5s".
type Duration time.Duration

// MarshalText returns the span in a form such as "1.5s".
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(dur).String()), nil
}

// UnmarshalText parses a span such as "1.5s".
func (dur *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(strings.TrimSpace(string(text)))
	if err != nil {
		return err
	}
	*dur = Duration(span)
	return nil
}
