package progress

import (
	"fmt"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

func headItem(id job.ID, pro job.Progress) kv.Item {
	raw, err := job.Marshal(pro)
	if err != nil {
		panic(err)
	}
	return kv.Item{Key: job.ProgressKey(id), Value: raw, Revision: 50}
}

func partItem(id job.ID, prt Part) kv.Item {
	raw, err := msgpack.Marshal(&prt)
	if err != nil {
		panic(err)
	}
	return kv.Item{Key: partKey(id, prt.Number), Value: raw, Revision: 50}
}

// TestOddPart guards against a part that takes others with it: one that is malformed,
// unknown, missing or out of order is ignored and named once, and the others of its job
// and of other jobs are read.
func TestOddPart(t *testing.T) {
	const id, oth = job.ID("00000000000000a1"), job.ID("00000000000000a2")
	part := func(num int) kv.Item {
		return partItem(id, Part{Number: num, Tasks: []job.TaskRecord{{Index: num * TasksPerPart, Run: 1}}})
	}
	listed := func(nums ...int) kv.Item { return headItem(id, job.Progress{Parts: nums}) }
	changed := func(itm kv.Item, change func(itm *kv.Item)) kv.Item {
		change(&itm)
		return itm
	}
	many := make([]int, maxParts+1)
	for name, tst := range map[string]struct {
		items []kv.Item
		// ignored holds the keys, and read the parts whose tasks are read.
		ignored []string
		read    []int
	}{
		"all good":         {[]kv.Item{listed(0, 1, 3), part(0), part(1), part(3)}, nil, []int{0, 1, 3}},
		"malformed":        {[]kv.Item{listed(0, 1, 3), part(0), changed(part(1), func(itm *kv.Item) { itm.Value = itm.Value[:9] }), part(3)}, []string{partKey(id, 1)}, []int{0, 3}},
		"empty":            {[]kv.Item{listed(0, 1), changed(part(0), func(itm *kv.Item) { itm.Value = nil }), part(1)}, []string{partKey(id, 0)}, []int{1}},
		"negative task":    {[]kv.Item{listed(0, 1), part(0), partItem(id, Part{Number: 1, Tasks: []job.TaskRecord{{Index: -1}}})}, []string{partKey(id, 1)}, []int{0}},
		"missing":          {[]kv.Item{listed(0, 1, 3), part(0), part(3)}, []string{partKey(id, 1)}, []int{0, 3}},
		"unknown":          {[]kv.Item{listed(0, 3), part(0), part(1), part(3)}, []string{partKey(id, 1)}, []int{0, 3}},
		"of no job":        {[]kv.Item{part(1)}, []string{partKey(id, 1)}, nil},
		"without a number": {[]kv.Item{listed(0), part(0), changed(part(1), func(itm *kv.Item) { itm.Key = job.ProgressKey(id) + "/x" })}, []string{job.ProgressKey(id) + "/x"}, []int{0}},
		"another number":   {[]kv.Item{listed(0), part(0), changed(part(1), func(itm *kv.Item) { itm.Key = job.ProgressKey(id) + "/01" })}, []string{job.ProgressKey(id) + "/01"}, []int{0}},
		"of no task":       {[]kv.Item{listed(0, maxParts), part(0), part(maxParts)}, nil, []int{0, maxParts}},
		"swapped":          {[]kv.Item{listed(0, 1), part(0), changed(part(3), func(itm *kv.Item) { itm.Key = partKey(id, 1) })}, []string{partKey(id, 1)}, []int{0}},
		"listed twice":     {[]kv.Item{listed(0, 1, 1), part(0), part(1)}, []string{partKey(id, 1)}, []int{0, 1}},
		"listed backwards": {[]kv.Item{listed(0, 3, 1), part(0), part(1), part(3)}, []string{partKey(id, 1)}, []int{0, 3}},
		"negative":         {[]kv.Item{listed(-1, 0), part(0)}, []string{partKey(id, -1)}, []int{0}},
		"newer than head":  {[]kv.Item{listed(0, 1), part(0), changed(part(1), func(itm *kv.Item) { itm.Revision = 51 })}, []string{partKey(id, 1)}, []int{0}},
		"older than head":  {[]kv.Item{listed(0, 1), part(0), changed(part(1), func(itm *kv.Item) { itm.Revision = 3 })}, nil, []int{0, 1}},
		"too many":         {[]kv.Item{listed(many...), part(0)}, []string{job.ProgressKey(id), partKey(id, 0)}, nil},
		"odd head":         {[]kv.Item{changed(listed(0), func(itm *kv.Item) { itm.Value = []byte{0xc1} }), part(0)}, []string{job.ProgressKey(id), partKey(id, 0)}, nil},
	} {
		good := []kv.Item{headItem(oth, job.Progress{Parts: []int{1}}), partItem(oth, Part{Number: 1, Tasks: []job.TaskRecord{{Index: 2600, Done: true}}})}
		var ignored []string
		all := Join(append(tst.items, good...), func(itm kv.Item, err error) {
			assert.Assert(t, err != nil)
			ignored = append(ignored, itm.Key)
		})
		assert.DeepEqual(t, ignored, tst.ignored)
		var read []int
		for _, tas := range all[id].Progress.Tasks {
			read = append(read, tas.Index/TasksPerPart)
		}
		assert.DeepEqual(t, read, tst.read)
		assert.DeepEqual(t, all[oth], Stored{Progress: job.Progress{Tasks: []job.TaskRecord{{Index: 2600, Done: true}}}, Revision: 50})
		assert.Equal(t, len(all) <= 2, true, name)
	}
}

// FuzzJoin reads a head and a part of any bytes. They name no task that can't exist, and
// change nothing of another job.
func FuzzJoin(f *testing.F) {
	const id, oth = job.ID("00000000000000a1"), job.ID("00000000000000a2")
	f.Add(headItem(id, job.Progress{Parts: []int{0}}).Value, "0", partItem(id, Part{Tasks: []job.TaskRecord{{Done: true, FailedRuns: []int{1}, Checkpoint: "c"}}}).Value)
	f.Fuzz(func(t *testing.T, head []byte, number string, part []byte) {
		items := []kv.Item{
			{Key: job.ProgressKey(id), Value: head, Revision: 50}, {Key: fmt.Sprintf("%s/%s", job.ProgressKey(id), number), Value: part, Revision: 50},
			headItem(oth, job.Progress{Parts: []int{1}}), partItem(oth, Part{Number: 1, Tasks: []job.TaskRecord{{Index: 2600, Done: true}}}),
		}
		ignored := 0
		all := Join(items, func(_ kv.Item, err error) {
			ignored++
			if err == nil {
				t.Error("ignored without a reason")
			}
		})
		if ignored > maxParts+2 {
			t.Errorf("%d lines", ignored)
		}
		for _, tas := range all[id].Progress.Tasks {
			if min(tas.Occurrence, tas.Step, tas.Index, tas.Run) < 0 {
				t.Errorf("read %+v", tas)
			}
		}
		if sto := all[oth]; len(sto.Progress.Tasks) != 1 || sto.Revision != 50 {
			t.Errorf("read %+v of another job", sto)
		}
		if len(all) > 2 {
			t.Errorf("%d jobs", len(all))
		}
	})
}
