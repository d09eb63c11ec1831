package wave_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

// TestMain prints the seed of the generated sequences; repeat a run with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set(fmt.Sprint(time.Now().UnixNano())); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	fmt.Printf("rapid seed %s\n", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
