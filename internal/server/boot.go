package server

import (
	"os"
	"strings"
)

const bootIDFile = "/proc/sys/kernel/random/boot_id"

// bootID identifies the current boot of the machine. It is "" where the system
// does not provide one.
func bootID() string {
	data, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data))
}
