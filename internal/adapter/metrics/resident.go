package metrics

import (
	"bytes"
	"os"
	"strconv"
)

// residentBytes returns the resident memory of the process in bytes. It returns false on systems without /proc.
func residentBytes() (int64, bool) {
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
