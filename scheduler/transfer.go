package scheduler

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"
	"unicode/utf8"

	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/scheduler/transient"
)

// Connection handover from a draining process to its successor, over a Unix SEQPACKET socket. Each message carries the
// descriptor of one client connection and, where a request is waiting for its answer, the txn with the descriptors of its
// worker connections. A message that was sent transfers all of these to the successor; one that was not sent transfers none.

const (
	maxMessageBytes = 200 << 10 // a connection whose message would be larger stays with the draining process
	maxMessageFDs   = 16
	// Delay before a receive that failed for a transient reason is repeated.
	transferRetryDelay = time.Millisecond
	// The longest plausible time between the sending and the handling of a message, in ms. It matters only for a sender that
	// gives no BootOffsetMs: if the two processes' clocks differ by more, or the message seems to come from the future, the wall
	// clock was set between their starts, and all times of the message are shifted by the difference.
	maxTransitMs = 1000.0
)

// transferMessage is one message, in JSON. Its descriptors are the client's connection, then the connections of Txn.Posts in
// their order. Sender and receiver may be different builds: the JSON names must not change. All times are in milliseconds on
// the sender's clock.
type transferMessage struct {
	Now          float64         // when the message was made
	BootOffsetMs float64         `json:"Boot"` // the sender's clock.bootOffsetMs, from which the receiver converts times; 0: unknown
	Answered     bool            `json:"Used"` // client.answeredTxn
	Txn          *transferredTxn `json:",omitempty"`
}

// transferredTxn is the txn that the client's connection waits for: the module's state of it, the fields of the request that go
// on to workers, and the postings that have a connection.
type transferredTxn struct {
	State              balance.TxnState `json:"Known"`
	Method, Path, Host string
	IdempotencyKey     string `json:"Mark"`
	ContentType        string `json:"Kind"`
	Body               []byte
	Until              float64 // when the client's time is over
	Posts              []transferredPosting
	// Raw has the texts above, and the key of State, that are not UTF-8 and that JSON would change. Nil if there are none.
	Raw *rawTexts `json:",omitempty"`
	// Names are those of the sender's zones and kinds, which State has by number. Nil if an older build sent the message.
	Names *placeNames `json:",omitempty"`
}

// rawTexts are fields of a request as the client sent them. Nil: the field is UTF-8.
type rawTexts struct{ Host, ContentType, Key []byte }

// rawTextsOf returns the fields of a request that are not UTF-8, or nil.
func rawTextsOf(request *clientRequest) *rawTexts {
	var raw rawTexts
	found := false
	for _, field := range raw.fieldsOf(&request.host, &request.contentType, &request.txn.Key) {
		if !utf8.ValidString(*field.text) {
			*field.raw, found = []byte(*field.text), true
		}
	}
	if !found {
		return nil
	}
	return &raw
}

// restore sets the fields of a transferred txn that JSON has changed.
func (r *rawTexts) restore(t *transferredTxn) {
	if r == nil {
		return
	}
	for _, field := range r.fieldsOf(&t.Host, &t.ContentType, &t.State.Txn.Key) {
		if *field.raw != nil {
			*field.text = string(*field.raw)
		}
	}
}

// rawField is a field of rawTexts, and the text for which it stands.
type rawField struct {
	raw  *[]byte
	text *string
}

func (r *rawTexts) fieldsOf(host, contentType, key *string) []rawField {
	return []rawField{{&r.Host, host}, {&r.ContentType, contentType}, {&r.Key, key}}
}

// placeNames are the names of a process's zones and kinds, by their numbers: they are indexes into the settings' lists, which
// another process may have in another order.
type placeNames struct{ Zones, Kinds []string }

// transferredPosting is a posting whose request was sent to a worker and that has not ended.
type transferredPosting struct {
	Number   int `json:"No"` // index among all postings of the txn
	Worker   string
	Addr     string
	Until    float64 // when the posting times out
	SendBy   float64 `json:"By"` // the request may not be sent later than this; below 0: no such limit
	Response []byte  // state of the response parser
}

// ---- the draining process ----

// transferClients sends every client connection that can be transferred now to the successor. A connection with a message half
// read or half written, or with a worker connection still being made, is tried again with the next call.
func (h *handover) transferClients() {
	if h.successorFD == 0 || h.transferring {
		return
	}
	h.transferring = true
	defer func() { h.transferring = false }()
	cs := &h.s.clients
	for i := len(cs.all) - 1; i >= 0; i-- {
		if i >= len(cs.all) {
			continue // others were closed by a transfer
		}
		if c := cs.all[i]; c.canTransfer() && !h.transferClient(c) {
			return
		}
	}
}

// canTransfer tells whether the connection is between two messages and not closing: nothing is buffered in either direction,
// and its txn, if any, can be transferred too.
func (c *client) canTransfer() bool {
	if c.conn == nil || c.closing || c.overLimit || c.probesSent > 0 || c.conn.OutboundBuffered() > 0 || c.conn.InboundBuffered() > 0 {
		return false
	}
	return c.txn == nil && !c.requestBegun || c.txn != nil && c.txn.canTransfer()
}

// canTransfer tells whether each open posting has its request written whole and no bytes buffered in either direction, and
// whether the descriptors fit in one message together with the client's.
func (t *txn) canTransfer() bool {
	if t.closed {
		return false
	}
	for _, p := range t.postings {
		if conn := p.conn; conn != nil && (conn.state != connBusy || conn.writing || conn.conn == nil ||
			conn.conn.OutboundBuffered() > 0 || conn.conn.InboundBuffered() > 0) {
			return false
		}
	}
	return t.openPostings < maxMessageFDs
}

// transferClient sends one client connection to the successor. It returns false if the socket takes no more messages for now,
// or is broken; a connection that can't be sent in a message is skipped.
func (h *handover) transferClient(c *client) bool {
	message := transferMessage{Now: h.s.now(), BootOffsetMs: h.s.clock.bootOffsetMs, Answered: c.answeredTxn}
	fds := []int{c.conn.Fd()}
	if t := c.txn; t != nil {
		state, isOpen := h.s.driver.module.ExportTxn(t.ref)
		if !isOpen {
			return true
		}
		request := &t.request
		message.Txn = &transferredTxn{state, request.method, request.path, request.host, request.idempotencyKey, request.contentType,
			request.body, t.deadline, nil, rawTextsOf(request), h.s.placeNames()}
		for _, p := range t.postings {
			conn := p.conn
			if conn == nil {
				continue
			}
			resp, err := conn.resp.Save()
			if err != nil {
				return true
			}
			post := transferredPosting{p.number, conn.worker.id, conn.addr, p.deadline, -1, resp}
			if p.sendBy < t.deadline {
				post.SendBy = p.sendBy // a later limit has no effect, and JSON has no infinity
			}
			message.Txn.Posts = append(message.Txn.Posts, post)
			fds = append(fds, conn.conn.Fd())
		}
	}
	raw, err := json.Marshal(message)
	if err != nil || len(raw) > maxMessageBytes {
		return true
	}
	err = unix.Sendmsg(h.successorFD, raw, unix.UnixRights(fds...), nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	if err != nil {
		if !transient.IsTransient(err) {
			h.s.log.Printf("msg=handover state=broken err=%q", err)
			h.disconnectSuccessor()
		}
		return false
	}
	h.clientsSent++
	c.forgetTransferred()
	return true
}

// forgetTransferred drops a client connection that the successor has now, with its txn and worker connections, and tells the
// module that their txn ended here.
func (c *client) forgetTransferred() {
	d := &c.s.driver
	if t := c.txn; t != nil {
		c.txn, t.client, t.transferred = nil, nil, true
		t.close()
		d.module.TxnClosed(d.s.now(), t.ref)
		for _, p := range t.postings {
			if conn := p.conn; conn != nil {
				conn.posting, p.conn = nil, nil
				d.endedSinceCleanup++
				t.openPostings--
				d.module.Ended(d.s.now(), t.ref, p.number, balance.Cancelled, true, balance.NoLoad)
				conn.close()
			}
		}
		d.deleteIfFinished(t)
	}
	c.close()
}

// connectSuccessor connects to the transfer socket of a process that accepts clients: the newer one, or the older one where an
// upgrade is taken back. If that fails, no connection is transferred and all requests are finished by this process.
func (h *handover) connectSuccessor() {
	name := h.sharedTransferSocket()
	if offset, ok := h.firstLockedByOther(servingLocks, servingLocks+lockRangeSize); ok {
		name = h.transferSocket(offset - servingLocks)
	}
	fd, err := connectTransferSocket(name)
	if err != nil && !h.ownsSharedSocket {
		fd, err = connectTransferSocket(h.sharedTransferSocket()) // an older build has no other
	}
	if err != nil {
		h.s.log.Printf("msg=handover state=unreached err=%q", err)
		return
	}
	h.successorFD = fd
}

func connectTransferSocket(name string) (fd int, err error) {
	fd, err = unix.Socket(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return 0, err
	}
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, 2*maxMessageBytes)
	if err := unix.Connect(fd, &unix.SockaddrUnix{Name: name}); err != nil {
		_ = unix.Close(fd)
		return 0, err
	}
	return fd, nil
}

// disconnectSuccessor ends the transfer. Connections that were not transferred stay with this process.
func (h *handover) disconnectSuccessor() {
	if h.successorFD != 0 {
		h.s.log.Printf("msg=handover state=given clients=%d left=%d", h.clientsSent, len(h.s.clients.all))
		_ = unix.Close(h.successorFD)
		h.successorFD = 0
	}
}

// ---- the successor ----

// transferSocketSuffix is appended to handover.recordsPath for the names of the transfer sockets.
const transferSocketSuffix = ".pass"

// transferSocket is the name of the transfer socket of the process with this number.
func (h *handover) transferSocket(processNumber int64) string {
	return h.sharedTransferSocket() + "." + strconv.FormatInt(processNumber, 10)
}

// sharedTransferSocket is the name of the newest process's other transfer socket, the only one that older builds know.
func (h *handover) sharedTransferSocket() string { return h.recordsPath + transferSocketSuffix }

// listenForTransfers accepts connections from draining processes of this scheduler at the socket of this name, and receives what
// they transfer.
func (h *handover) listenForTransfers(name string) (ok bool) {
	_ = os.Remove(name) // left by a process that was killed
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: name, Net: "unixpacket"})
	if err != nil {
		h.s.log.Printf("msg=handover state=unreached err=%q", err)
		return false
	}
	h.transferListeners = append(h.transferListeners, listener)
	go func() {
		for {
			c, err := listener.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return // by closeTransferListeners
			}
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			go h.receiveTransfers(c)
		}
	}()
	return true
}

// closeTransferListeners ends listenForTransfers, as no other process is left.
func (h *handover) closeTransferListeners() {
	if len(h.transferListeners) == 0 {
		return
	}
	h.s.log.Printf("msg=handover state=alone txns_taken=%d", h.txnsReceived)
	for _, l := range h.transferListeners {
		l.Close()
	}
	h.transferListeners, h.ownsSharedSocket = nil, false
}

// receiveTransfers handles the messages of one draining process until it closes the connection.
func (h *handover) receiveTransfers(from *net.UnixConn) {
	defer from.Close()
	for {
		raw, fds, err := receiveMessage(from)
		if err != nil || len(raw) == 0 && len(fds) == 0 {
			return
		}
		if len(raw) > maxMessageBytes {
			err = fmt.Errorf("transfer message is longer than the limit of %d bytes", maxMessageBytes)
		} else {
			err = h.handleMessage(raw, fds)
		}
		if err != nil {
			h.s.log.Printf("msg=malformed from=process err=%q", err)
			closeFDs(fds)
		}
	}
}

// receiveMessage receives one message and its descriptors. It peeks first, for which the kernel duplicates the descriptors into
// this process. If the process is at its descriptor limit, some are missing (MSG_CTRUNC); as the message is still queued, it is
// peeked at again until all are there. Only then it is removed from the queue.
func receiveMessage(from *net.UnixConn) (raw []byte, fds []int, err error) {
	conn, err := from.SyscallConn()
	if err != nil {
		return nil, nil, err
	}
	buffer, oob := make([]byte, maxMessageBytes+1), make([]byte, unix.CmsgSpace(4*maxMessageFDs))
	for {
		rawBytes, oobBytes, flags, err := receiveRetrying(conn, buffer, oob, unix.MSG_PEEK|unix.MSG_CMSG_CLOEXEC)
		if err != nil {
			return nil, nil, err
		}
		raw, fds = buffer[:rawBytes], messageFDs(oob[:oobBytes])
		if flags&unix.MSG_CTRUNC == 0 {
			break
		}
		closeFDs(fds)
		time.Sleep(transferRetryDelay)
	}
	if _, _, _, err := receiveRetrying(conn, make([]byte, 1), nil, 0); err != nil {
		closeFDs(fds)
		return nil, nil, err
	}
	return raw, fds, nil
}

// receiveRetrying waits for a message, and repeats the call after transient errors.
func receiveRetrying(conn syscall.RawConn, raw, oob []byte, flags int) (rawBytes, oobBytes, gotFlags int, err error) {
	for {
		connErr := conn.Read(func(fd uintptr) bool {
			rawBytes, oobBytes, gotFlags, _, err = unix.Recvmsg(int(fd), raw, oob, flags|unix.MSG_DONTWAIT)
			return err != unix.EAGAIN
		})
		if connErr != nil {
			return 0, 0, 0, connErr
		}
		if !transient.IsTransient(err) {
			return rawBytes, oobBytes, gotFlags, err
		}
		time.Sleep(transferRetryDelay)
	}
}

// messageFDs returns the descriptors in a message's control data.
func messageFDs(oob []byte) (fds []int) {
	all, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for i := range all {
		more, _ := unix.ParseUnixRights(&all[i]) // fails for control messages of other types, which hold no descriptors
		fds = append(fds, more...)
	}
	return fds
}

func closeFDs(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// handleMessage decodes a message and has its connections taken over on the event loop. If it returns an error, the caller
// still owns the descriptors.
func (h *handover) handleMessage(raw []byte, fds []int) error {
	var message transferMessage
	if err := json.Unmarshal(raw, &message); err != nil {
		return err
	}
	<-h.s.ready
	if h.s.loop == nil || len(fds) == 0 || message.Txn != nil && len(fds) != 1+len(message.Txn.Posts) {
		return fmt.Errorf("cannot take over %d connections: there is no event loop, or the message lists another number", len(fds))
	}
	h.s.onLoop(func() { h.adoptConnections(message, fds) })
	return nil
}

// adoptConnections adds the connections of a message to the event loop and restores the txn. The client's connection is first,
// as an answer may be due at once; readsBlocked keeps it from being read until its txn is restored.
func (h *handover) adoptConnections(message transferMessage, fds []int) {
	s := h.s
	c := &client{s: s, answeredTxn: message.Answered, transferred: true, readsBlocked: message.Txn != nil}
	if err := s.loop.Adopt(fds[0], c); err != nil {
		s.log.Printf("msg=malformed from=process err=%q", err)
		closeFDs(fds)
		return
	}
	if message.Txn == nil {
		return
	}
	for i, conn := range s.driver.resumeTxn(c, message) {
		fd := fds[i+1]
		if conn == nil {
			_ = unix.Close(fd)
		} else if err := s.loop.Adopt(fd, conn); err != nil {
			_ = unix.Close(fd)
			s.pool.removeConn(conn)
			conn.reportEnd(balance.Reset)
		}
	}
}

// placeNames returns the names of this process's zones and kinds.
func (s *Scheduler) placeNames() *placeNames {
	return &placeNames{s.node.decoded.Zones, s.node.decoded.Kinds}
}

// numbersIn returns for each of names its index in own, or balance.UnknownPlace. It returns nil where the lists are equal.
func numbersIn(own, names []string) []int {
	if slices.Equal(own, names) {
		return nil
	}
	numbers := make([]int, len(names))
	for i, name := range names {
		numbers[i] = indexOf(own, name)
	}
	return numbers
}

// renumberPlaces gives a txn's state this process's numbers of zones and kinds, where the sender's lists are others.
func (t *transferredTxn) renumberPlaces(own *placeNames) {
	if t.Names != nil {
		t.State.Renumber(numbersIn(own.Zones, t.Names.Zones), numbersIn(own.Kinds, t.Names.Kinds))
	}
}

// resumeTxn restores a txn of the draining process. It returns a worker connection for each posting of the message, which the
// caller has still to add to the event loop, or nil where the connection is to be closed as nothing waits for its response.
func (d *driver) resumeTxn(c *client, message transferMessage) []*workerConn {
	sent, now := message.Txn, d.s.now()
	conns := make([]*workerConn, len(sent.Posts))
	c.readsBlocked = false
	if c.conn == nil {
		return conns // the client has left; its postings end as their connections are closed
	}
	if d.txns[sent.State.Txn.Ref] != nil { // only where an older build gave or took the id, which tells nobody
		c.answer(502, "Request-Id is in use at another process\n", -1)
		return conns
	}
	shiftMs := d.s.clock.offsetFromMs(message.BootOffsetMs)
	if transitMs := now - message.Now; message.BootOffsetMs == 0 && (transitMs < 0 || transitMs > maxTransitMs) {
		shiftMs = transitMs
	}
	sent.renumberPlaces(d.s.placeNames())
	sent.Raw.restore(sent)
	state := &sent.State
	state.ArrivedAt, state.SLAAt, state.ExpiresAt = state.ArrivedAt+shiftMs, state.SLAAt+shiftMs, state.ExpiresAt+shiftMs
	for i := range state.Postings {
		state.Postings[i].PostedAt += shiftMs
		state.Postings[i].StartedAt += shiftMs
	}
	t := &txn{ref: state.Txn.Ref, client: c, deadline: min(sent.Until+shiftMs, d.stopAt)}
	t.request = clientRequest{txn: state.Txn, scheme: &state.Scheme, method: sent.Method, path: sent.Path, host: sent.Host,
		idempotencyKey: sent.IdempotencyKey, contentType: sent.ContentType, body: sent.Body}
	t.postings = make([]*posting, len(state.Postings))
	for i := range t.postings {
		t.postings[i] = &posting{txn: t, number: i}
		t.mayHaveRun = t.mayHaveRun || state.Postings[i].MayHaveRun
	}
	for i, sentPost := range sent.Posts {
		if sentPost.Number < 0 || sentPost.Number >= len(t.postings) {
			continue
		}
		p := t.postings[sentPost.Number]
		if p.deadline, p.sendBy = min(sentPost.Until+shiftMs, t.deadline), sentPost.SendBy+shiftMs; sentPost.SendBy < 0 {
			p.sendBy = t.deadline
		}
		worker := d.s.pool.worker(sentPost.Worker)
		if worker == nil {
			worker = &poolWorker{id: sentPost.Worker, addr: sentPost.Addr}
		}
		conn := &workerConn{s: d.s, worker: worker, addr: sentPost.Addr, idleBeforeUseMs: -1, state: connBusy,
			transferred: true, posting: p, index: len(d.s.pool.conns)}
		if err := conn.resp.Restore(sentPost.Response, responseLimits); err != nil {
			d.s.log.Printf("msg=malformed from=process err=%q", err)
		}
		d.s.pool.conns = append(d.s.pool.conns, conn)
		p.conn, conns[i] = conn, conn
		t.openPostings++
		heap.Push(&d.deadlines, postingDeadline{p.deadline, p})
	}
	d.txns[t.ref], c.txn = t, t
	c.chargeMemory()
	d.module.ImportTxn(*state)
	d.s.requestIDs.adopt(t)
	d.s.handover.txnsReceived++
	return conns
}
