package table

import (
	"strings"
	"time"
)

// Kind says how a caller meets a route.
type Kind string

// The kinds of work.
const (
	// KindRequest is work whose caller waits for the answer.
	KindRequest Kind = "request"
	// KindTask is work that may wait and whose result is asked for later.
	KindTask Kind = "task"
)

// Urgency orders work that waits for the same pool.
type Urgency string

// The urgencies, most urgent first.
const (
	UrgencyUrgent Urgency = "urgent"
	UrgencyNormal Urgency = "normal"
	UrgencyLong   Urgency = "long"
)

// Rank returns 0 for the most urgent work.
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

// Team is a customer with a share of a full fleet and an upper limit.
type Team struct {
	// Name is unique among the teams.
	Name string `toml:"name" json:"name"`
	// Share is the team's weight when the fleet is full; at least 1.
	Share int `toml:"share" json:"share"`
	// Limit is the most work that the team may have running fleet-wide; at
	// least 1.
	Limit int `toml:"limit" json:"limit"`
}

// Route says whose work goes where.
type Route struct {
	// Name is unique among the routes. For tasks it is the queue's name.
	Name string `toml:"name" json:"name"`
	Kind Kind   `toml:"kind" json:"kind"`
	// Path is the prefix of the request paths that take this route. It begins
	// with a slash, is unique, and is empty for tasks.
	Path string `toml:"path,omitempty" json:"path,omitempty"`
	// Pool names a pool of the table of pools.
	Pool    string  `toml:"pool" json:"pool"`
	Urgency Urgency `toml:"urgency" json:"urgency"`
	// Repeatable says that running the work twice does no harm, whatever its
	// HTTP method.
	Repeatable bool `toml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Deadline is how long the work may wait and run. It is positive.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// MaxBodyBytes bounds the body of a request or the payload of a task.
	MaxBodyBytes int64 `toml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty"`
	// Teams lists who may use the route; empty means every team.
	Teams []string `toml:"teams,omitempty" json:"teams,omitempty"`
	// OpenTeam, when set, opens the route to callers without a key; their work
	// counts as that team's.
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

// Duration is a time span written as in "1.5s".
type Duration time.Duration

// MarshalText writes the span as in "1.5s".
func (dur Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(dur).String()), nil
}

// UnmarshalText reads a span such as "1.5s".
func (dur *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(strings.TrimSpace(string(text)))
	if err != nil {
		return err
	}
	*dur = Duration(span)
	return nil
}
