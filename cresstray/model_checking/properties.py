"""What must hold on every schedule. Worlds judge by their own account of what went over their seams."""

from __future__ import annotations

PROPERTIES: dict[str, str] = {
    "one_answer": "A submission gets one final answer, and none once its client has left.",
    "by_hard_stop": "The answer is there by the hard stop, where the loop is late by less than its margin.",
    "one_outstanding": "A submission has one outstanding relay at the most, counted over all halls.",
    "drained": "Nothing new goes to an engine that is known to drain.",
    "gone": "Nothing new goes to an engine that is known to be gone.",
    "further_budget": "In each window that ends with a further relay, there are no more than the budget has.",
    "unrepeatable": "An unrepeatable submission that may have run is neither sent again nor denied.",
    "deduplicated": "A deduplicated one that may have run is sent again inside its group and memory only.",
    "own_name": "A client gets the answer to what it asked.",
    "nothing_after": "Nothing is sent after the final answer, but the withdrawal.",
    "key_order": "Submissions of a key run one after another, in their order, a gap after what may run on.",
    "nothing_kept": "Once nothing is owed and nothing is out, nothing is kept of what has ended.",
    "one_crossing": "A submission crosses to another hall once at the most.",
    "credit": "Credit between halls is never negative, and none is lost.",
    "belief": "Nothing goes to what is known gone, nothing that may run once to what is on trial.",
    "one_holder": "Of the processes with one gateway's name, one at the most has a lease.",
    "sound": "No assertion fails, and no exception leaves the code.",
}
