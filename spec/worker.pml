/*
 * Ownership of one worker by two processes, for guarantees 1 and 2: claim, epoch, lease, takeover, delayed starts, and
 * clocks that run at different rates. Attempt 1 of a task is started on the worker; its home starts attempt 2 elsewhere
 * once attempt 1 certainly does not run. A second task competes for the worker's room. Messages are delayed without
 * bound, copied and lost; a process suspects the other one at any time, rightly or not.
 */
// broken: NO_EPOCH NO_WAIT NO_MARGIN NO_CAPACITY NO_REFUSAL NO_EXPIRY NO_INVENTORY

#define LEASE 1         /* control lease in ticks */
#define TASKLEASE 2     /* task lease in ticks of the worker's clock */
#define SLOW 1          /* ticks that the worker's clock may lose in that time */
#ifdef NO_MARGIN
#define BOUND TASKLEASE
#else
#define BOUND (TASKLEASE + SLOW) /* owner.TaskLeaseBound */
#endif
#define MAXEPOCH 3
#define MAXTICKS 6

mtype = { unplaced, placed, survey, gone, moved };

byte epoch, holder;            /* of the worker; holder 0 is none, otherwise process + 1 */
byte lease, taskLease;         /* ticks left by the worker's clock */
bool run1, filler, run2;       /* attempt 1 and the other task on the worker; attempt 2 elsewhere */
bool seen1, refused1;          /* what the worker remembers of attempt 1 */
byte held[2];                  /* epoch that a process believes it holds; 0 is none */
byte valid[2];                 /* ticks left of the lease, counted from before the request */
byte copies[2];                /* epochs of the copies of the start of attempt 1 in flight; 0 is none */
byte fillMsg;                  /* epoch of the other task's start in flight */
mtype home = unplaced;         /* what the home knows of attempt 1 */
byte placer;                   /* process that attempt 1 was placed at */
byte bound;                    /* ticks until attempt 1 has certainly ended if nobody renews */
byte ticks, lost;

inline check() {
  assert(!(run1 && run2));                 /* guarantee 2 */
  assert((run1 -> 1 : 0) + (filler -> 1 : 0) <= 1) /* guarantee 1: there is room for one task */
}

/* home.(*partition).follow begins: the owner of attempt 1 was lost. */
inline interrupt(p) {
  if
  :: home == placed && placer == p -> home = survey
  :: else
  fi
}

/* grant.(*Grant).Claim and worker.(*Worker).Granted; keeper.claim asks again with supersede on any suspicion. The
 * inventory tells the home whether attempt 1 runs: owner.(*keeper).take, home.(*partition).survey. */
inline claim(p, supersede) {
  atomic {
    epoch < MAXEPOCH && held[p] == 0 && (holder == 0 || holder == p + 1 || lease == 0 || supersede) ->
    epoch++; holder = p + 1; lease = LEASE; taskLease = TASKLEASE; bound = BOUND;
    held[p] = epoch; valid[p] = LEASE;
    if
    :: home == survey && run1 -> home = placed; placer = p
    :: home == survey && !run1 -> home = gone
    :: else
    fi
  }
}

inline lose(p) {
  atomic { held[p] != 0 -> held[p] = 0; interrupt(p) }
}

/* grant.(*Grant).check: the epoch holds the control lease, and the task lease has not lapsed. */
#ifdef NO_EPOCH
#define ACCEPTS(e) (holder != 0 && taskLease > 0)
#else
#ifdef NO_EXPIRY
#define ACCEPTS(e) (e == epoch && holder != 0)
#else
#define ACCEPTS(e) (e == epoch && holder != 0 && taskLease > 0)
#endif
#endif

#ifdef NO_CAPACITY
#define ROOM true
#else
#define ROOM (!run1 && !filler)
#endif

/* grant.(*Grant).Start for attempt 1. The answer to a copy may be lost. */
inline deliver(i) {
  atomic {
    copies[i] != 0 ->
    if
    :: !ACCEPTS(copies[i]) -> skip
    :: ACCEPTS(copies[i]) && seen1 -> skip
#ifndef NO_REFUSAL
    :: ACCEPTS(copies[i]) && !seen1 && refused1 -> skip
#endif
    :: ACCEPTS(copies[i]) && !seen1 && !refused1 && ROOM -> seen1 = true; run1 = true
#ifdef NO_REFUSAL
    :: ACCEPTS(copies[i]) && !seen1 && refused1 && ROOM -> seen1 = true; run1 = true
#endif
    :: ACCEPTS(copies[i]) && !seen1 && !ROOM -> refused1 = true;
       if
       :: home == placed && held[placer] == copies[i] -> home = gone /* owner.(*Service).startRefused */
       :: skip                                                       /* the answer is lost */
       fi
    fi;
    copies[i] = 0;
    check()
  }
}

active proctype model() {
end:
  do
  :: claim(0, false)
  :: claim(1, false)
  :: claim(0, true)
  :: claim(1, true)

  /* owner.(*Service).start; worker.(*Worker).Reserve requires the lease. */
  :: atomic { home == unplaced && held[0] != 0 && valid[0] > 0 ->
       home = placed; placer = 0; copies[0] = held[0] }

  /* owner.(*Service).startUnknown sends a copy while the process holds the same epoch. */
  :: atomic { home == placed && copies[1] == 0 && !run1 && held[placer] != 0 -> copies[1] = held[placer] }

  :: deliver(0)
  :: deliver(1)
  :: atomic { copies[0] != 0 -> copies[0] = 0 } /* lost */

  /* owner.(*Service).start of the other task, by either process; its view of the room may be wrong. */
  :: atomic { fillMsg == 0 && !filler && held[0] != 0 && valid[0] > 0 -> fillMsg = held[0] }
  :: atomic { fillMsg == 0 && !filler && held[1] != 0 && valid[1] > 0 -> fillMsg = held[1] }

  /* grant.(*Grant).Start and grant.(*Grant).Finish of the other task. */
  :: atomic { fillMsg != 0 ->
       if
       :: ACCEPTS(fillMsg) && ROOM -> filler = true
       :: else
       fi;
       fillMsg = 0; check() }
  :: atomic { filler -> filler = false }

  /* grant.(*Grant).Sync and worker.(*Worker).Renewed. */
  :: atomic { holder != 0 && held[holder - 1] == epoch && ACCEPTS(epoch) ->
       lease = LEASE; taskLease = TASKLEASE; bound = BOUND; valid[holder - 1] = LEASE }

  /* owner.(*keeper).lose and worker.(*Worker).Lost: the process died, was paused, or was refused. */
  :: lose(0)
  :: lose(1)

  /* owner.(*keeper).release and grant.(*Grant).Release. */
  :: atomic { holder == 1 && held[0] == epoch -> holder = 0; held[0] = 0; interrupt(0) }
  :: atomic { holder == 2 && held[1] == epoch -> holder = 0; held[1] = 0; interrupt(1) }

#ifdef NO_INVENTORY
  /* An inventory that is not bound to a higher epoch: a start may still be on its way. */
  :: atomic { home == survey && !run1 -> home = gone }
#endif
#ifdef NO_WAIT
  /* The owner is only suspected dead, and the home does not wait. */
  :: atomic { home == survey -> home = gone }
#endif

  /* Time. The worker's clock may lose ticks; grant.(*Grant).Expire stops the tasks. owner.(*keeper).standing tells the
   * home when the bound has passed. */
  :: atomic { ticks < MAXTICKS ->
       ticks++;
       if
       :: lost < SLOW && taskLease > 0 -> lost++
       :: lease = (lease > 0 -> lease - 1 : 0);
          taskLease = (taskLease > 0 -> taskLease - 1 : 0);
          if
          :: taskLease == 0 -> run1 = false; filler = false
          :: else
          fi
       fi;
       valid[0] = (valid[0] > 0 -> valid[0] - 1 : 0);
       valid[1] = (valid[1] > 0 -> valid[1] - 1 : 0);
       bound = (bound > 0 -> bound - 1 : 0);
       if
       :: home == survey && bound == 0 -> home = gone
       :: else
       fi }

  /* home.(*partition).run starts attempt 2 elsewhere. */
  :: atomic { home == gone -> home = moved; run2 = true; check() }
  od
}
