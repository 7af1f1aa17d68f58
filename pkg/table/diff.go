package table

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// Action is the kind of a difference.
type Action string

// The actions.
const (
	ActionAdd    Action = "add"
	ActionRemove Action = "remove"
	ActionChange Action = "change"
)

// Difference is one named element in which two versions of the tables differ.
type Difference struct {
	Action Action `json:"action"`
	// Part is the kind and name of the element, such as "pool gate_check".
	Part string `json:"part"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff returns the differences between the old and the new tables, in the order
// of teams, routes, pools and availability zones, each by name. New tables
// without a list of zones out of service leave the zones unchanged.
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
			dif.Action, dif.New = ActionAdd, toJSON(after)
		case !is:
			dif.Action, dif.Old = ActionRemove, toJSON(before)
		case !reflect.DeepEqual(before, after):
			dif.Action, dif.Old, dif.New = ActionChange, toJSON(before), toJSON(after)
		default:
			continue
		}
		dfs = append(dfs, dif)
	}
	return dfs
}

// toJSON returns an element as JSON, in which spans have the same form as in the
// tables.
func toJSON(element any) string {
	data, err := json.Marshal(element)
	if err != nil {
		return fmt.Sprint(element)
	}
	return string(data)
}

func byName[T any](elements []T, name func(T) string) map[string]T {
	named := make(map[string]T, len(elements))
	for _, element := range elements {
		named[name(element)] = element
	}
	return named
}
