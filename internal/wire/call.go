package wire

import "context"

// Call opens a stream of the kind to the host at addr, sends req, receives one response into resp and closes the
// stream. It returns the error of ctx if that ends while it waits for the response.
func Call(ctx context.Context, d Dialer, addr string, kind Kind, req, resp any) error {
	c, err := d.Open(ctx, addr, kind)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() {
		stop()
		_ = c.Close()
	}()
	if err := c.Send(req); err != nil {
		return err
	}
	if err := c.Recv(resp); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
	return nil
}
