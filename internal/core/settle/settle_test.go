package settle

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNext checks the actions on a start in their order.
func TestNext(t *testing.T) {
	for _, tst := range []struct {
		start Start
		want  Action
	}{
		{Start{MayRepeat: true, MayStop: true, MayArrive: true}, Repeat},
		{Start{MayRepeat: true, MayStop: true, MayArrive: true, Rejected: true}, Release},
		{Start{Repeats: MaxRepeats, MayRepeat: true, MayStop: true, MayArrive: true}, Stop},
		{Start{MayStop: true}, Stop},
		{Start{Repeats: MaxRepeats, MayRepeat: true, MayArrive: true}, Repeat},
		{Start{Repeats: MaxRepeatsBeyondBudget, MayRepeat: true, MayArrive: true}, Wait},
		{Start{MayArrive: true}, Wait},
		{Start{Repeats: MaxRepeatsBeyondBudget, MayRepeat: true}, Release},
		{Start{}, Release},
	} {
		assert.Equal(t, tst.start.Next(), tst.want, "%+v", tst.start)
	}
}
