package site

import (
	"fmt"
	"strings"
)

// oddRegistrations are registrations that name no VM to use: with missing fields, fields
// of other types, numbers out of range, deep nesting, or no JSON at all.
var oddRegistrations = []string{
	``,
	`null`,
	`[]`,
	`"lots"`,
	"\x00\xff\xfe{",
	`{}`,
	`{"service":"lots","zone":"az0","state":"ready","capacity":{"cpu":16000,"mem-mb":32768,"gpu":0}}`,
	`{"service":"lots","address":"127.0.0.1:9","zone":"az0","state":"ready"}`,
	`{"service":7,"address":["127.0.0.1",9],"zone":{},"state":true,"capacity":"all","labels":3}`,
	`{"service":"lots","address":"127.0.0.1:9","zone":"az0","state":"asleep","capacity":{"cpu":16000,"mem-mb":32768}}`,
	`{"service":"other","address":"127.0.0.1:9","zone":"az9","state":"ready","capacity":{"cpu":16000,"mem-mb":32768},"born":1}`,
	registrationWith("127.0.0.1:70000", `{"cpu":16000,"mem-mb":32768,"gpu":0}`, `0`, `1`),
	registrationWith("127.0.0.1:-1", `{"cpu":16000,"mem-mb":32768,"gpu":0}`, `0`, `1`),
	registrationWith("127.0.0.1", `{"cpu":16000,"mem-mb":32768,"gpu":0}`, `0`, `1`),
	registrationWith("", `{"cpu":16000,"mem-mb":32768,"gpu":0}`, `0`, `1`),
	registrationWith("http://[::1", `{"cpu":16000,"mem-mb":32768,"gpu":0}`, `0`, `1`),
	registrationWith("127.0.0.1:9", `{"cpu":16000,"mem-mb":32768,"gpu":0}`, `0`, `1`),
	registrationWith("127.0.0.1:9", `{"cpu":-1,"mem-mb":-32768,"gpu":-9}`, `0`, `1`),
	registrationWith("127.0.0.1:9", `{"cpu":0,"mem-mb":0,"gpu":0}`, `0`, `1`),
	registrationWith("127.0.0.1:9", `{"cpu":9223372036854775807,"mem-mb":9223372036854775807,"gpu":9223372036854775807}`, `0`, `1`),
	registrationWith("127.0.0.1:9", `{"cpu":1e400,"mem-mb":32768,"gpu":0}`, `0`, `1`),
	registrationWith("127.0.0.1:9", `{"cpu":9223372036854775808,"mem-mb":1,"gpu":0}`, `0`, `1`),
	registrationWith("127.0.0.1:9", `{"cpu":16000,"mem-mb":32768,"gpu":0}`, `1e300`, `-9223372036854775808`),
	registrationWith("127.0.0.1:9", `{"cpu":16000,"mem-mb":32768,"gpu":0}`, `-1e300`, `9223372036854775807`),
	registrationWith("127.0.0.1:9", `{"cpu":16000,"mem-mb":32768,"gpu":0}`, `0`, `1.5`),
	`{"service":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + `}`,
	strings.Repeat(`{"service":`, 20_000),
	`{"service":"` + strings.Repeat("lots", 50_000) + `","address":"127.0.0.1:9","zone":"az0","state":"ready","capacity":{"cpu":1}}`,
}

// OddRegistrations is the number of odd registrations.
func OddRegistrations() int { return len(oddRegistrations) }

// RegisterOdd writes an odd registration, by its number, under a key of its own. It
// returns a function that removes it.
func (sit *Site) RegisterOdd(num int) (remove func()) {
	key := fmt.Sprintf("%sodd-%d", registrationPrefix, num)
	sit.Store.PutRaw(key, []byte(oddRegistrations[num]))
	return func() { sit.Store.Delete(key) }
}

// RegisterOdd writes an odd registration over that of the VM, if one runs, until
// Register is called.
func (wor *Worker) RegisterOdd(num int) {
	if id, _, ok := wor.RunningVM(); ok {
		wor.sit.Store.PutRaw(registrationPrefix+id, []byte(oddRegistrations[num%len(oddRegistrations)]))
	}
}

// Registration returns the value of a valid registration of a VM at an address.
func Registration(address string) []byte {
	return []byte(registrationWith(address, `{"cpu":16000,"mem-mb":32768,"gpu":0}`, `0`, `1`))
}

// registrationWith returns a registration with all fields.
func registrationWith(address, capacity, cold, born string) string {
	return `{"service":"lots","address":"` + address + `","zone":"az0","version":"v1","slots":8,"state":"ready","cold-remaining-ms":` + cold +
		`,"sequence":1,"born":` + born + `,"capacity":` + capacity + `,"labels":["a","r1"]}`
}
