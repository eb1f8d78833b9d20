package intact

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxWait bounds the time from the end of the stream until the request is written and acknowledged. It is the time
	// for which package h1 lets sent bytes stay unacknowledged.
	maxWait = 1500 * time.Millisecond
	// minPause and maxPause bound the time between two looks at the socket.
	minPause = 500 * time.Microsecond
	maxPause = 10 * time.Millisecond

	// minStatus and maxStatus bound the statuses of HTTP.
	minStatus = 100
	maxStatus = 599

	// States of a socket in TCP_INFO. No socket has the state 0.
	stateUnknown     = 0
	stateEstablished = 1
	stateCloseWait   = 8
)

var (
	errWaited     = errors.New("the connection ended before the request was received")
	errNotWritten = errors.New("the connection ended and the request was not written")
)

// Verify is called after the end of the stream was read from a connection. It returns an error unless the sender closed
// the connection cleanly and received the whole request. written receives the result of writing the request. notified
// means that the sender has said on a higher layer that the stream ends, so that its TCP connection may still be open.
//
// Bytes that are not acknowledged are bytes that a process which has closed its connection cannot have read: its kernel
// answers them with a reset.
func Verify(tcp net.Conn, written <-chan error, notified bool) error {
	deadline, done := time.Now().Add(maxWait), false
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		select {
		case err := <-written:
			if err != nil {
				return errors.Wrap(errNotWritten, err.Error())
			}
			done = true
		default:
		}
		received, err := isReceived(tcp, notified)
		if err != nil || done && received {
			return err
		}
		if !time.Now().Before(deadline) {
			return errWaited
		}
		time.Sleep(pause)
	}
}

// CheckStatus returns an error for a status that no HTTP response has. net/http panics if it has to send a status below
// 100.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return errors.Errorf("status %d is not that of a response", status)
	}
	return nil
}

// isReceived reports whether the peer has acknowledged all bytes so far. It returns an error if the connection was
// reset. It reports true for a connection that is not TCP.
func isReceived(tcp net.Conn, notified bool) (bool, error) {
	sc, ok := tcp.(syscall.Conn)
	if !ok {
		return true, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, errors.Wrap(err, "socket of the connection")
	}
	var info *unix.TCPInfo
	var unacked int
	var failed error
	err = raw.Control(func(fd uintptr) {
		if info, failed = unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO); failed == nil {
			unacked, failed = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		}
	})
	switch {
	case err != nil:
		return false, errors.Wrap(err, "state of the connection")
	case isUnsupported(failed), failed == nil && info.State == stateUnknown:
		// Where the kernel does not tell the state of a connection, the result of the write decides.
		return true, nil
	case failed != nil:
		return false, errors.Wrap(failed, "state of the connection")
	case info.State != stateCloseWait && (!notified || info.State != stateEstablished):
		return false, errors.Errorf("the connection ended in state %d, not by a clean close", info.State)
	}
	return unacked == 0, nil
}

// isUnsupported reports whether an error of a system call says that the kernel does not have it.
func isUnsupported(err error) bool {
	for _, code := range []syscall.Errno{
		syscall.ENOPROTOOPT, syscall.EOPNOTSUPP, syscall.ENOTTY, syscall.ENOSYS, syscall.EINVAL,
	} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}
