// Model of the journal of one partition. It contains two processes that may both act as the home of the partition, lost
// responses, writes that take effect late, pauses (any step may be delayed without bound), reuse of the slots of the ring,
// and one piece of work that is not repeatable. Checked properties: the work is started at most once, even if the two
// processes reach different owners; and if they reach the same owners, no caller is told that the work did not run once
// it has been started.
//
// The comment at each transition names the Go function that implements it.
//
// The variants in the next line must fail:
// broken: NO_CAS DELETE_SLOTS ASSUME_STORED NO_HOME_EPOCH
//   NO_CAS         slots are written without a compare-and-swap on their revision
//   DELETE_SLOTS   segments contained in a snapshot are deleted, so that a previous writer can create them again
//   ASSUME_STORED  a lost response is treated as a success
//   NO_HOME_EPOCH  a request whose intent was not stored is reported as not run without asking the owners for a later home

#define SLOTS  2
#define MAX_SEQ 4 // highest sequence number; every slot is used twice
#define TERMS  2  // total number of terms of the two processes
#define TRIES  2  // writes of the intent by each process
#define WRITES 2  // writes with one sequence number in a term: an abandoned one and a second one

// Nonces distinguish the writes with one sequence number by their term and their number within the term.
#define FIRST_NONCE(epoch) ((epoch) * (WRITES + 1))

// The store. Revision 0 means that the key does not exist; slotVersion never decreases.
byte slotRev[SLOTS], slotVersion[SLOTS], slotSeq[SLOTS], slotWriter[SLOTS], slotNonce[SLOTS];
bit  slotIntent[SLOTS];
byte storedSnapLast, storedSnapRev;
bit  storedSnapIntent;

// A write that takes effect after its caller has stopped waiting for it. Only process 0 has such a write, to limit the
// state space.
bit  latePending, lateIntent;
byte lateSlot, lateExpectedRev, lateSeq, lateNonce;

byte terms;      // terms started so far; each term takes the next home epoch
byte ownerEpoch; // highest home epoch that the owners have seen
byte starts;
bit  splitOwners; // the two processes reach different owners, so that only the journal prevents a second start

#ifdef NO_CAS
#define MATCHES(slot, expectedRev) true
#else
#define MATCHES(slot, expectedRev) (slotRev[slot] == (expectedRev))
#endif

// The effect of port.Store.Put in the store.
inline apply(slot, writer, writeNonce, sequence, intent) {
	slotVersion[slot]++;
	slotRev[slot] = slotVersion[slot];
	slotWriter[slot] = writer;
	slotNonce[slot] = writeNonce;
	slotSeq[slot] = sequence;
	slotIntent[slot] = intent
}

// A delayed write takes effect after its caller has abandoned it.
active proctype network() {
end:
	do
	:: atomic {
		latePending ->
		if
		:: MATCHES(lateSlot, lateExpectedRev) -> apply(lateSlot, 1, lateNonce, lateSeq, lateIntent)
		:: else
		fi;
		latePending = 0; lateSlot = 0; lateExpectedRev = 0; lateSeq = 0; lateNonce = 0; lateIntent = 0
	}
	od
}

proctype home(byte self) {
	byte rev[SLOTS];             // the revisions last read, as in journal.Journal
	byte seq, snapLast, snapRev; // highest stored sequence number, last one in the snapshot, revision of the snapshot
	byte nonce;                  // nonce of the last write
	byte epoch, tries;
	bit  hasIntent;  // the journal holds the intent
	bit  intent;     // the write in progress contains the intent
	bit  isTakeover; // the write in progress is the takeover
	byte next, slot, i;

idle:
	// home.partition.takeOver
	atomic {
		hasIntent = 0; intent = 0; isTakeover = 0; epoch = 0; next = 0; slot = 0; seq = 0; snapLast = 0;
		snapRev = 0; nonce = 0;
		rev[0] = 0; rev[1] = 0;
		if
		:: terms == TERMS -> goto done
		:: else
		fi;
		terms++;
		epoch = terms;
		ownerEpoch = epoch // home.partition.surveyHolders, owner.Service.HandleTakeHome
	}
	// journalwriter.partitionWriter.readJournal, journal.Open
	atomic {
		snapLast = storedSnapLast; snapRev = storedSnapRev; seq = snapLast; hasIntent = storedSnapIntent;
		i = 0;
		do
		:: i < SLOTS ->
			rev[i] = slotRev[i];
			if
			:: slotRev[i] != 0 && slotSeq[i] > snapLast ->
				hasIntent = hasIntent || slotIntent[i];
				seq = (slotSeq[i] > seq -> slotSeq[i] : seq)
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		nonce = FIRST_NONCE(epoch);
		isTakeover = 1
	}

write:
	// journal.Journal.TakeOver and Append
	atomic {
		next = seq + 1;
		slot = next % SLOTS;
		if
		:: next > MAX_SEQ -> goto done
		:: next > SLOTS && next - SLOTS > snapLast -> goto compact
		:: else
		fi;
		if
		:: nonce == FIRST_NONCE(epoch) + WRITES -> goto idle
		:: else -> nonce++
		fi
	}
put:
	// journalwriter.partitionWriter.writeSegment
	if
	:: atomic {
		MATCHES(slot, rev[slot]) ->
		apply(slot, self + 1, nonce, next, intent);
		if
		:: goto stored
		:: goto readBack // the response is lost
		fi
	}
	:: atomic { !MATCHES(slot, rev[slot]) -> goto readBack } // a conflict
	:: goto readBack // the request is lost
	:: atomic { // the call timed out and the write is delayed
		self == 0 && !latePending ->
		latePending = 1; lateSlot = slot; lateExpectedRev = rev[slot]; lateSeq = next; lateNonce = nonce; lateIntent = intent;
		goto readBack
	}
	fi;
readBack:
#ifdef ASSUME_STORED
	goto stored;
#endif
	// journalwriter.partitionWriter.readBack, journal.Journal.ReadBack
	if
	:: atomic { slotRev[slot] == rev[slot] -> goto put } // journal.Retry
	:: atomic {
		slotRev[slot] != rev[slot] && slotRev[slot] != 0 && slotWriter[slot] == self + 1 && slotSeq[slot] == next &&
		slotNonce[slot] == nonce -> goto stored
	}
	:: atomic { // journal.SlotTaken
		slotRev[slot] != rev[slot] && slotRev[slot] != 0 && slotWriter[slot] == self + 1 && slotSeq[slot] == next &&
		slotNonce[slot] > FIRST_NONCE(epoch) && slotNonce[slot] < nonce ->
		rev[slot] = slotRev[slot];
		seq = next;
		nonce = FIRST_NONCE(epoch);
		goto write
	}
	:: atomic { // journal.Conflict, home.term.stepDown
		slotRev[slot] != rev[slot] && !(slotRev[slot] != 0 && slotWriter[slot] == self + 1 && slotSeq[slot] == next &&
		slotNonce[slot] > FIRST_NONCE(epoch)) -> goto idle
	}
	:: atomic { // journal.Journal.AbandonWrite: the store does not respond
		if
		:: isTakeover -> goto idle
		:: intent -> goto reject
		:: else -> next = 0; slot = 0; goto serving
		fi
	}
	fi;
stored:
	// journal.Journal.MarkStored
	atomic {
		rev[slot] = slotRev[slot];
		seq = next;
		isTakeover = 0; next = 0; slot = 0; nonce = FIRST_NONCE(epoch);
		if
		:: intent -> hasIntent = 1; intent = 0; goto place
		:: else
		fi
	}

serving:
	// home.term.execute
	if
	:: atomic { !hasIntent && tries < TRIES -> tries++; intent = 1; goto write } // home.term.recordIntent
	:: atomic { seq < MAX_SEQ -> goto write }                                 // records of other work
	:: goto idle // home.partition.endTerm: membership assigns another home for some time
	fi;

place:
	// home.term.placeAttempt, owner.Service.HandlePlace, tenure.HeldAttempts.Admit
	atomic {
		if
		:: splitOwners || ownerEpoch == epoch -> starts++; assert(starts <= 1); goto serving
		:: else -> goto idle
		fi
	}

reject:
	// home.term.recordIntent fails with store_unavailable: the caller is told that the work did not run
	atomic {
		intent = 0; next = 0; slot = 0;
#ifndef NO_HOME_EPOCH
		if
		:: ownerEpoch != epoch -> goto idle // home.term.stepDown
		:: else
		fi;
#endif
		assert(splitOwners || starts == 0);
		goto serving
	}

compact:
	// journalwriter.partitionWriter.compact, journal.Journal.Compact
	if
	:: atomic {
		storedSnapRev == snapRev && seq > snapLast ->
		storedSnapRev++; storedSnapLast = seq; storedSnapIntent = hasIntent;
		snapRev = storedSnapRev; snapLast = seq; // journal.Journal.MarkCompacted
#ifdef DELETE_SLOTS
		i = 0;
		do
		:: i < SLOTS ->
			if
			:: slotRev[i] == rev[i] && slotSeq[i] <= snapLast -> slotRev[i] = 0; rev[i] = 0
			:: else
			fi;
			i++
		:: else -> break
		od;
		i = 0;
#endif
	}
	:: atomic { // another snapshot is found: journal.Journal.MarkCompacted
		storedSnapRev != snapRev ->
		if
		:: storedSnapLast > seq -> goto idle
		:: else -> snapRev = storedSnapRev; snapLast = storedSnapLast
		fi
	}
	:: atomic { seq == snapLast && storedSnapRev == snapRev }
	:: true // the store does not respond
	fi;
	atomic {
		if
		:: isTakeover && next - SLOTS <= snapLast -> goto write
		:: isTakeover -> goto idle
		:: intent -> goto reject // no free slot
		:: else -> next = 0; slot = 0; goto serving
		fi
	}
done:
	skip
}

init {
	atomic {
		if
		:: splitOwners = 0
		:: splitOwners = 1
		fi;
		run home(0);
		run home(1)
	}
}
