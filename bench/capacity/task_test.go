package capacity

import (
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/version/intent"
)

func newTask(in model.Intent) model.Task {
	return intent.NewTask(in, 17, 0, 0, time.Unix(1_800_000_000, 0))
}
