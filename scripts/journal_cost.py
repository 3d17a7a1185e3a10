"""Prints the cost of journaling billing records as JSON."""

from bronzeglade import green

green.patch()

from fleet import journal_cost  # noqa: E402

if __name__ == '__main__':
    journal_cost.main()
