package table

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// Action says what happens to a named part of the tables.
type Action string

// The actions.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionChange Action = "change"
)

// Difference is one named part that two versions of the tables do not share.
type Difference struct {
	Action Action `json:"action"`
	// Part is the kind and name, as in "pool gate_check".
	Part string `json:"part"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff returns what turns the old tables into the new ones, in the order of
// teams, routes, pools and availability zones, each by name. New tables that
// do not speak of the availability zones taken out leave them as they are.
func Diff(old, next Tables) []Difference {
	var dfs []Difference
	dfs = append(dfs, diffNamed("team", old.Teams, next.Teams, func(tea Team) string { return tea.Name })...)
	dfs = append(dfs, diffNamed("route", old.Routes, next.Routes, func(rou Route) string { return rou.Name })...)
	dfs = append(dfs, diffNamed("pool", old.Pools, next.Pools, func(poo Pool) string { return poo.Name })...)
	if next.AZsOut != nil {
		identity := func(az string) string { return az }
		dfs = append(dfs, diffNamed("az out", old.AZsOut, next.AZsOut, identity)...)
	}
	return dfs
}

func diffNamed[T any](noun string, old, next []T, name func(T) string) []Difference {
	olds, nexts := byName(old, name), byName(next, name)
	var names []string
	for key := range olds {
		names = append(names, key)
	}
	for key := range nexts {
		names = append(names, key)
	}
	slices.Sort(names)
	var dfs []Difference
	for _, key := range slices.Compact(names) {
		before, was := olds[key]
		after, is := nexts[key]
		dif := Difference{Part: noun + " " + key}
		switch {
		case !was:
			dif.Action, dif.New = ActionAdd, text(after)
		case !is:
			dif.Action, dif.Old = ActionRemove, text(before)
		case !reflect.DeepEqual(before, after):
			dif.Action, dif.Old, dif.New = ActionChange, text(before), text(after)
		default:
			continue
		}
		dfs = append(dfs, dif)
	}
	return dfs
}

// text writes a part as JSON, in which spans read as in the tables.
func text(part any) string {
	data, err := json.Marshal(part)
	if err != nil {
		return fmt.Sprint(part)
	}
	return string(data)
}

func byName[T any](parts []T, name func(T) string) map[string]T {
	named := make(map[string]T, len(parts))
	for _, part := range parts {
		named[name(part)] = part
	}
	return named
}
