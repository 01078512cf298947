package server

import (
	"os"
	"strings"
)

const bootFile = "/proc/sys/kernel/random/boot_id"

// bootID names this boot of the machine, or is "" where the system does not
// tell.
func bootID() string {
	data, err := os.ReadFile(bootFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data))
}
