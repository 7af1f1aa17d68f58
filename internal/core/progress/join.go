package progress

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/packed"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Stored is the progress of a job as it was read.
type Stored struct {
	Progress job.Progress
	// Revision is that of the head.
	Revision kv.Revision
}

// Reasons for which a part is ignored, with those of decoding.
var (
	errNoHead    = errors.New("the head of the job's progress does not list this part")
	errMissing   = errors.New("the head of the job's progress lists this part, which is missing")
	errRepeated  = errors.New("the head of the job's progress lists this part out of order")
	errNewer     = errors.New("the part was written after the head of the job's progress")
	errNotNumber = errors.New("the key does not end in the number of a part")
)

// Join puts together the stored progress of all jobs from the items under
// job.ProgressPrefix. ignore is called for each item, and each part that a head lists,
// that is wrong. Others are not affected.
func Join(items []kv.Item, ignore func(itm kv.Item, err error)) (all map[job.ID]Stored) {
	all = map[job.ID]Stored{}
	parts := map[string]kv.Item{}
	for _, itm := range items {
		id, number, isPart := strings.Cut(strings.TrimPrefix(itm.Key, job.ProgressPrefix), "/")
		if isPart {
			if _, err := parsePartNumber(number); err != nil {
				ignore(itm, err)
				continue
			}
			parts[itm.Key] = itm
			continue
		}
		pro, err := job.Unmarshal[job.Progress](itm.Value)
		if err == nil && len(pro.Parts) > maxParts {
			err = fmt.Errorf("lists %d parts, a job has up to %d", len(pro.Parts), maxParts)
		}
		if err != nil {
			ignore(itm, err)
			continue
		}
		all[job.ID(id)] = Stored{Progress: pro, Revision: itm.Revision}
	}
	for _, itm := range items {
		id := job.ID(strings.TrimPrefix(itm.Key, job.ProgressPrefix))
		if sto, ok := all[id]; ok {
			all[id] = sto.joined(id, parts, ignore)
		}
	}
	for _, itm := range items {
		if _, left := parts[itm.Key]; left {
			ignore(itm, errNoHead)
		}
	}
	return all
}

// joined adds the parts that the head lists, and takes them from the map.
func (sto Stored) joined(id job.ID, parts map[string]kv.Item, ignore func(itm kv.Item, err error)) Stored {
	last := -1
	for _, num := range sto.Progress.Parts {
		key := partKey(id, num)
		itm, ok := parts[key]
		delete(parts, key)
		tasks, err := decodePart(itm.Value, num)
		switch {
		case num <= last:
			itm.Key, err = key, errRepeated
		case !ok:
			itm.Key, err = key, errMissing
		case itm.Revision > sto.Revision:
			err = errNewer
		}
		if err != nil {
			ignore(itm, err)
			continue
		}
		last = num
		sto.Progress.Tasks = append(sto.Progress.Tasks, tasks...)
	}
	sto.Progress.Parts = nil
	return sto
}

// parsePartNumber reads the number of a part as partKey writes it.
func parsePartNumber(text string) (num int, err error) {
	num, err = strconv.Atoi(text)
	if err != nil || num < 0 || strconv.Itoa(num) != text {
		return 0, errNotNumber
	}
	return num, nil
}

// decodePart reads the part with a number.
func decodePart(raw []byte, number int) (tasks []job.TaskRecord, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode part %d: %w", number, err)
		}
	}()
	var prt Part
	if err := packed.Unmarshal(raw, &prt); err != nil {
		return nil, err
	}
	if prt.Number != number {
		return nil, fmt.Errorf("holds part %d", prt.Number)
	}
	return prt.Tasks, job.Progress{Tasks: prt.Tasks}.Check()
}
