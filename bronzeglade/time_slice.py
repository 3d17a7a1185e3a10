"""Bounds the work of a green thread between two yields."""

import eventlet

# Pieces of work after which a green thread yields. A piece takes up to about
# 100 us: a parser event, an event of a stream, a request, a datagram.
MAX_PIECES = 64
# Received bytes that count as one piece.
BYTES_PER_PIECE = 2048


class TimeSlice:
    """The work of a green thread since it last yielded.

    Green threads yield only while they wait. A peer that sends without a pause
    never lets its reader wait, so the reader has to yield by itself.
    """

    def __init__(self) -> None:
        """Start a time slice without any work."""
        self.pieces = 0

    def spend(self, pieces: int = 1) -> None:
        """Count work that was done; yield at the end of the time slice.

        Args:
          pieces: number of pieces.
        """
        self.pieces += pieces
        if self.pieces >= MAX_PIECES:
            self.pieces = 0
            eventlet.sleep(0)

    def spend_bytes(self, size: int) -> None:
        """Count received bytes; yield at the end of the time slice.

        Args:
          size: number of bytes.
        """
        self.spend(size // BYTES_PER_PIECE)
