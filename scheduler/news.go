package scheduler

import (
	"fmt"
	"os"

	"github.com/go-json-experiment/json"

	"shalebeam/balance"
	"shalebeam/scheduler/transient"
)

const (
	// newsSuffix is appended to handover.recordsPath for the name of the file of news.
	newsSuffix = ".news"
	// newsFormat is the file's format and version.
	newsFormat = "workers in service, 1"
)

// While a scheduler has several processes, each has its own watch of discovery, and one may have an answer that the other does not get.
// The scheduler as a whole has been told then. So each process writes to a file which workers its list has in service, and a
// process whose list is older sends nothing to any other worker until discovery has answered it too.

// sharedList is the content of the file.
type sharedList struct {
	Shalebeam string                  `json:"shalebeam"`  // newsFormat: tells the file from others
	Discovery string                  `json:"discovery"`  // address of the discovery that the list is from
	Seq       int64                   `json:"seq"`        // version of the list
	InService map[string]sharedWorker `json:"in_service"` // by worker id
}

// sharedWorker tells a worker in service from one that has moved or was started again since.
type sharedWorker struct {
	Addr   string  `json:"addr"`
	BornMs float64 `json:"born_ms,omitzero"` // as discovery gives it, 0 where it is long ago
}

// news is what the other processes of this scheduler know of discovery's list. All its fields and methods are for the event loop.
type news struct {
	s           *Scheduler
	fileInfo    os.FileInfo               // the file when it was last read or written, to see whether it has changed since
	ahead       *sharedList               // a list that is newer than this process's; nil: none
	readAt      float64                   // when ahead was read, in ms
	drained     map[string]balance.Listed // by worker id: the rows that this process's list has of workers that are not in ahead
	unpublished bool                      // this process's list has changed since it last wrote the file
	discovery   string                    // address of the discovery that answered last
}

func (n *news) init(s *Scheduler) { *n = news{s: s, drained: map[string]balance.Listed{}} }

func (n *news) path() string { return n.s.handover.recordsPath + newsSuffix }

// answered is called once an answer of discovery has been applied. The list may have changed.
func (n *news) answered(discovery string, changed bool) {
	n.unpublished = n.unpublished || changed || discovery != n.discovery
	n.discovery = discovery
	n.publish()
}

// publish writes the file if this process's list has changed since it last did. What fails is tried again with the next sweep.
func (n *news) publish() {
	h := &n.s.handover
	if !n.unpublished || h.otherProcesses == 0 || h.lockFile == nil || !h.lockByte(lockNews) {
		return
	}
	defer h.unlockByte(lockNews)
	if err := n.read(); err != nil {
		return
	}
	if n.ahead != nil {
		n.unpublished = false // another process has a newer list
		return
	}
	if err := n.write(); err != nil {
		n.s.log.Printf("msg=handover state=news_unknown err=%q", err)
		return
	}
	n.unpublished = false
}

// write writes this process's list.
func (n *news) write() error {
	list := sharedList{Shalebeam: newsFormat, Discovery: n.discovery, Seq: n.s.roster.watch.Version(), InService: map[string]sharedWorker{}}
	for id, w := range n.s.pool.workers {
		if w.listedInService {
			list.InService[id] = n.describe(w)
		}
	}
	raw, err := json.Marshal(list)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path()+".new", raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(n.path()+".new", n.path()); err != nil {
		return err
	}
	n.fileInfo, _ = os.Stat(n.path())
	return nil
}

// describe returns what this process's list has of a worker.
func (n *news) describe(w *poolWorker) sharedWorker {
	return sharedWorker{w.addr, n.s.roster.startTimes.byWorker[w.id].listed}
}

// read takes over what another process has written, if the file has changed. It returns an error if the file can't be read for now.
func (n *news) read() error {
	info, err := os.Stat(n.path())
	if err != nil || n.fileInfo != nil && os.SameFile(info, n.fileInfo) && info.ModTime().Equal(n.fileInfo.ModTime()) {
		return nil
	}
	list, err := n.load()
	if transient.IsTransientFile(err) {
		return err
	}
	if n.fileInfo = info; err != nil {
		n.s.log.Printf("msg=malformed from=%s err=%q", n.path(), err)
		return nil
	}
	own := n.s.roster.watch.Version()
	if list.Discovery != n.s.roster.addr || list.Seq <= own || n.ahead != nil && list.Seq <= n.ahead.Seq {
		return nil
	}
	n.ahead, n.readAt = list, n.s.now()
	if drained := n.apply(); drained > 0 {
		n.s.log.Printf("msg=handover state=news seq=%d own=%d drained=%d", list.Seq, own, drained)
	}
	return nil
}

func (n *news) load() (*sharedList, error) {
	raw, err := os.ReadFile(n.path())
	if err != nil {
		return nil, err
	}
	list := &sharedList{}
	if err := json.Unmarshal(raw, list); err != nil {
		return nil, err
	}
	if list.Shalebeam != newsFormat || list.InService == nil {
		return nil, fmt.Errorf("not a file of workers in service: want format %q and workers, got format %q", newsFormat, list.Shalebeam)
	}
	return list, nil
}

// apply takes each worker that this process's list has in service, and the newer list of another process does not, as draining. It
// returns how many these are.
func (n *news) apply() int {
	var rows []balance.Listed
	for id, w := range n.s.pool.workers {
		if shared, ok := n.ahead.InService[id]; !w.listedInService || ok && shared == n.describe(w) {
			continue
		}
		if row, ok := n.s.driver.module.Listing(id); ok {
			n.drained[id] = row
			row.State = balance.Draining
			rows = append(rows, row)
		}
		w.listedInService = false
	}
	n.s.driver.module.ListChanged(n.s.now(), false, rows)
	return len(rows)
}

// listApplied is called when this process's list has changed by an answer to a call that was made at calledAt. An answer that is
// older than the other process's list may have put workers back; one that is as new makes that list obsolete, and so does a whole list
// that was asked for since, as discovery may have begun its versions anew.
func (n *news) listApplied(answer memberList, discovery string, calledAt float64) {
	if n.ahead == nil {
		return
	}
	for _, entry := range decodeMembers(answer.Hosts) {
		delete(n.drained, entry.member.Host)
	}
	if answer.Whole {
		clear(n.drained)
	}
	if n.isObsoleteBy(answer, discovery, calledAt) {
		n.drop()
	} else {
		n.apply()
	}
}

// isObsoleteBy tells whether an answer makes the other process's list obsolete; see listApplied. The versions of another discovery can't be
// compared, so after a change of its address a whole list is needed.
func (n *news) isObsoleteBy(answer memberList, discovery string, calledAt float64) bool {
	if discovery == n.ahead.Discovery && *answer.Seq >= n.ahead.Seq {
		return true
	}
	return answer.Whole && discovery == n.s.roster.addr && calledAt > n.readAt
}

// drop forgets the other process's list. Workers that were taken as draining by it alone are in service as before.
func (n *news) drop() {
	var rows []balance.Listed
	for id, row := range n.drained {
		if w := n.s.pool.worker(id); w != nil {
			w.listedInService = true
			rows = append(rows, row)
		}
	}
	n.ahead = nil
	clear(n.drained)
	n.s.driver.module.ListChanged(n.s.now(), false, rows)
}

// sweep is called while there are other processes.
func (n *news) sweep() {
	_ = n.read() // tried again with the next refresh
	n.publish()
}

// alone is called once this process is alone. The file would be taken for that of a later process, and may count as memory.
func (n *news) alone() {
	if n.discovery != "" {
		n.unpublished = true // to a process that comes
	}
	n.fileInfo = nil
	_ = os.Remove(n.path())
}
