package scheduler

import (
	"fmt"
	"os"
	"reflect"
	"testing"
)

// TestMain guards all tests of the package against a write to the tasks that many steps share, which would give each of
// them what has happened to another.
func TestMain(m *testing.M) {
	code := m.Run()
	if !reflect.DeepEqual(newTask, &task{}) || !reflect.DeepEqual(doneTask, &task{done: true}) {
		fmt.Println("FAIL: a shared task was written:", *newTask, *doneTask)
		code = 1
	}
	os.Exit(code)
}
