package metrics

import (
	"bytes"
	"os"
	"strconv"
)

// resident returns the memory of the process that is in use, in bytes. It returns false where the system does not tell.
func resident() (int64, bool) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, false
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0, false
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize()), err == nil
}
