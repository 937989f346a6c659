// Fake stands in for the scheduler program in a test of the auditor: it answers each request with status 200 and a result that
// no worker produced. Its arguments are those of the real program, of which it uses only the configuration's path.
package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
)

func main() {
	raw, err := os.ReadFile(os.Args[3]) // fake serve --config PATH
	if err != nil {
		panic(err)
	}
	var c struct{ Listen string }
	if err := json.Unmarshal(raw, &c); err != nil {
		panic(err)
	}
	panic(http.ListenAndServe(c.Listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "done, surely")
	})))
}
