// The journal of one partition: two processes that both believe at times to be its home, lost answers, writes that take
// effect late, pauses (any step may wait for any time), reuse of the ring's slots, and one piece of work that is not
// repeatable. Checked: it is started at most once, also when the two processes reach different owners; and no caller is
// told "not run" once it was started, when they reach the same ones.
//
// The comment at each transition names the Go function that makes it.
//
// broken: NO_CAS DELETE_SLOTS ASSUME_STORED NO_HOME_EPOCH
//   NO_CAS         slots are written without regard to their revision
//   DELETE_SLOTS   segments that a snapshot covers are deleted, so that a former writer can create them again
//   ASSUME_STORED  a lost answer counts as a success
//   NO_HOME_EPOCH  a refused request is told "not run" without asking the owners for a later home

#define SLOTS  2
#define MAXSEQ 4 // highest sequence number: every slot is used twice
#define TERMS  2 // terms of both processes
#define TRIES  2 // writes of the intent by each process
#define WRITES 2 // writes with one sequence number in a term: one that is abandoned, and one more

// Nonces tell the writes of one sequence number apart: the term, and the write within it.
#define FIRST(epoch) ((epoch) * (WRITES + 1))

// The store. Revision 0 stands for an absent key; version never goes back.
byte slotRev[SLOTS], slotVersion[SLOTS], slotSeq[SLOTS], slotWriter[SLOTS], slotNonce[SLOTS];
bit  slotIntent[SLOTS];
byte snapCovers, snapRev;
bit  snapIntent;

// A write whose caller does not wait for it any longer. Only process 0 has such a write, to bound the search.
bit  lateFull, lateIntent;
byte lateSlot, lateExpect, lateSeq, lateNonce;

byte terms;      // home epochs chosen
byte ownerEpoch; // highest home epoch that the owners have seen
byte starts;
bit  split;      // the two processes reach different owners: only the journal is between them

#ifdef NO_CAS
#define MATCHES(slot, expect) true
#else
#define MATCHES(slot, expect) (slotRev[slot] == (expect))
#endif

// port.Store.Put, as the store carries it out.
inline apply(slot, by, number, sequence, intent) {
	slotVersion[slot]++;
	slotRev[slot] = slotVersion[slot];
	slotWriter[slot] = by;
	slotNonce[slot] = number;
	slotSeq[slot] = sequence;
	slotIntent[slot] = intent
}

// A write that takes effect after its caller gave it up.
active proctype network() {
end:
	do
	:: atomic {
		lateFull ->
		if
		:: MATCHES(lateSlot, lateExpect) -> apply(lateSlot, 1, lateNonce, lateSeq, lateIntent)
		:: else
		fi;
		lateFull = 0; lateSlot = 0; lateExpect = 0; lateSeq = 0; lateNonce = 0; lateIntent = 0
	}
	od
}

proctype home(byte w) {
	byte rev[SLOTS];         // journal.Journal: revisions as last read
	byte seq, covers, snap;  // highest stored, covered by the snapshot, revision of the snapshot
	byte nonce;              // of the last write
	byte epoch, tries;
	bit  knows;              // the journal holds the intent
	bit  intent;             // the write in progress carries it
	bit  takeover;           // the write in progress is the takeover
	byte next, slot, i;

idle:
	// home.partition.take
	atomic {
		knows = 0; intent = 0; takeover = 0; epoch = 0; next = 0; slot = 0; seq = 0; covers = 0; snap = 0; nonce = 0;
		rev[0] = 0; rev[1] = 0;
		if
		:: terms == TERMS -> goto done
		:: else
		fi;
		terms++;
		epoch = terms;
		ownerEpoch = epoch // home.partition.survey, owner.Service.HandleTakeHome
	}
	// journalwriter.line.read, journal.Open
	atomic {
		covers = snapCovers; snap = snapRev; seq = covers; knows = snapIntent;
		i = 0;
		do
		:: i < SLOTS ->
			rev[i] = slotRev[i];
			if
			:: slotRev[i] != 0 && slotSeq[i] > covers ->
				knows = knows || slotIntent[i];
				seq = (slotSeq[i] > seq -> slotSeq[i] : seq)
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		nonce = FIRST(epoch);
		takeover = 1
	}

write:
	// journal.Journal.TakeOver and Append
	atomic {
		next = seq + 1;
		slot = next % SLOTS;
		if
		:: next > MAXSEQ -> goto done
		:: next > SLOTS && next - SLOTS > covers -> goto compact
		:: else
		fi;
		if
		:: nonce == FIRST(epoch) + WRITES -> goto idle
		:: else -> nonce++
		fi
	}
put:
	// journalwriter.line.write
	if
	:: atomic {
		MATCHES(slot, rev[slot]) ->
		apply(slot, w + 1, nonce, next, intent);
		if
		:: goto stored
		:: goto lost // the answer
		fi
	}
	:: atomic { !MATCHES(slot, rev[slot]) -> goto lost } // a refusal
	:: goto lost // the request
	:: atomic { // the call ran into its timeout
		w == 0 && !lateFull ->
		lateFull = 1; lateSlot = slot; lateExpect = rev[slot]; lateSeq = next; lateNonce = nonce; lateIntent = intent;
		goto lost
	}
	fi;
lost:
#ifdef ASSUME_STORED
	goto stored;
#endif
	// journalwriter.line.readBack, journal.Journal.ReadBack
	if
	:: atomic { slotRev[slot] == rev[slot] -> goto put } // journal.Retry
	:: atomic {
		slotRev[slot] != rev[slot] && slotRev[slot] != 0 && slotWriter[slot] == w + 1 && slotSeq[slot] == next &&
		slotNonce[slot] == nonce -> goto stored
	}
	:: atomic { // journal.Moved
		slotRev[slot] != rev[slot] && slotRev[slot] != 0 && slotWriter[slot] == w + 1 && slotSeq[slot] == next &&
		slotNonce[slot] > FIRST(epoch) && slotNonce[slot] < nonce ->
		rev[slot] = slotRev[slot];
		seq = next;
		nonce = FIRST(epoch);
		goto write
	}
	:: atomic { // journal.Conflict, home.term.fenced
		slotRev[slot] != rev[slot] && !(slotRev[slot] != 0 && slotWriter[slot] == w + 1 && slotSeq[slot] == next &&
		slotNonce[slot] > FIRST(epoch)) -> goto idle
	}
	:: atomic { // journal.Journal.Abandon: the store does not answer
		if
		:: takeover -> goto idle
		:: intent -> goto refuse
		:: else -> next = 0; slot = 0; goto serving
		fi
	}
	fi;
stored:
	// journal.Journal.Stored
	atomic {
		rev[slot] = slotRev[slot];
		seq = next;
		takeover = 0; next = 0; slot = 0; nonce = FIRST(epoch);
		if
		:: intent -> knows = 1; intent = 0; goto place
		:: else
		fi
	}

serving:
	// home.term.execute
	if
	:: atomic { !knows && tries < TRIES -> tries++; intent = 1; goto write } // home.term.intend
	:: atomic { seq < MAXSEQ -> goto write }                                 // records of other work
	:: goto idle // home.partition.giveUp: membership names another home for a while
	fi;

place:
	// home.term.attempt, owner.Service.HandlePlace, tenure.Holdings.Admit
	atomic {
		if
		:: split || ownerEpoch == epoch -> starts++; assert(starts <= 1); goto serving
		:: else -> goto idle
		fi
	}

refuse:
	// home.term.intend: store_unavailable, "not run"
	atomic {
		intent = 0; next = 0; slot = 0;
#ifndef NO_HOME_EPOCH
		if
		:: ownerEpoch != epoch -> goto idle // home.term.fenced
		:: else
		fi;
#endif
		assert(split || starts == 0);
		goto serving
	}

compact:
	// journalwriter.line.compact, journal.Journal.Compact
	if
	:: atomic {
		snapRev == snap && seq > covers ->
		snapRev++; snapCovers = seq; snapIntent = knows;
		snap = snapRev; covers = seq; // journal.Journal.Compacted
#ifdef DELETE_SLOTS
		i = 0;
		do
		:: i < SLOTS ->
			if
			:: slotRev[i] == rev[i] && slotSeq[i] <= covers -> slotRev[i] = 0; rev[i] = 0
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
#endif
	}
	:: atomic { // another snapshot is found: journal.Journal.Compacted
		snapRev != snap ->
		if
		:: snapCovers > seq -> goto idle
		:: else -> snap = snapRev; covers = snapCovers
		fi
	}
	:: atomic { seq == covers && snapRev == snap }
	:: true // the store does not answer
	fi;
	atomic {
		if
		:: takeover && next - SLOTS <= covers -> goto write
		:: takeover -> goto idle
		:: intent -> goto refuse // no slot was free
		:: else -> next = 0; slot = 0; goto serving
		fi
	}
done:
	skip
}

init {
	atomic {
		if
		:: split = 0
		:: split = 1
		fi;
		run home(0);
		run home(1)
	}
}
