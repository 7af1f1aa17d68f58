package transport

import (
	"net"
	"strconv"
	"strings"
)

// maxAddressBytes bounds an address.
const maxAddressBytes = 256

// hostCharacters are those of names of hosts and of IP addresses.
const hostCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.:-_"

// IsAddress reports whether a text is a host with a port from 1 to 65535, and
// nothing else that a URL can hold.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || len(text) > maxAddressBytes {
		return false
	}
	if strings.IndexFunc(host, func(char rune) bool { return !strings.ContainsRune(hostCharacters, char) }) >= 0 {
		return false
	}
	num, err := strconv.ParseUint(port, 10, 16)
	return err == nil && num > 0
}
