//! HTTP/1.1 heads, framing and bodies, checked on every leg.
