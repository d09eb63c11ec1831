package dispatch_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// TestMain sets and prints a seed, because rapid prints its own only for a failure.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed").Value
	if seed.String() == "0" {
		if err := seed.Set(strconv.FormatInt(time.Now().UnixNano(), 10)); err != nil {
			fmt.Println("set rapid.seed:", err)
			os.Exit(1)
		}
	}
	fmt.Printf("reproduce with -rapid.seed=%s\n", seed)
	os.Exit(m.Run())
}
