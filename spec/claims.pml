/*
 * Model of calls that run at most once: ATTEMPTS attempts with one idempotency key, each made by a different instance,
 * share one claim object in the platform's store.
 *
 * Environment steps: a crash of the holder at any step, a pause (any interleaving), a lost answer of the platform, a
 * write that takes effect late, a partition from the platform, a broken connection, and a server that crashes before
 * it runs the call. Each but a pause uses up one of FAULTS, so that the number of faults is finite.
 *
 * Macros that change the protocol:
 *   WITH_RELEASE   a claim is released after a proven not-run (the protocol of the Java code)
 *   WITH_START     a second write marks the start; a claim that is not started can be taken over
 * A macro that starts with MUTANT_ breaks one rule of the protocol.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
/* Bounds the versions that takeovers produce, since their number is unlimited otherwise. */
#define MAX_VERSION 8
#define LAST (ATTEMPTS - 1)
#define NOBODY ATTEMPTS

mtype = { ABSENT, CLAIMED, STARTED, RECORDED, RELEASED };
mtype = { IDLE, PENDING, WRITTEN, CONFLICT };
mtype = { SILENT, ANSWER, NOT_RUN, MAY_HAVE_RUN, IN_PROGRESS };

/* The claim object. Each write that takes effect gives it a new version; version 0 means that it is absent. */
mtype object = ABSENT;
byte objectBy = NOBODY;
byte version = 0;

/*
 * Writes in flight. The claim and the write after it have a slot each, so that a late claim write can conflict with a
 * release.
 */
typedef Write {
    mtype phase = IDLE;
    mtype value = ABSENT;
    byte expected = 0;
    byte got = 0
};
Write claimWrite[ATTEMPTS];
Write nextWrite[ATTEMPTS];

byte faults = FAULTS;
bool dead[ATTEMPTS];
bool sent[ATTEMPTS];
bool answered[ATTEMPTS];
bool cut[ATTEMPTS];
bool overdue = false;

/* State that the properties check. */
byte runs = 0;
bool ran[ATTEMPTS];
mtype replied[ATTEMPTS] = SILENT;
byte recordedBy = NOBODY;
bool doubleRun = false;
bool falseNotRun = false;
bool otherOutcome = false;

#define FAULT atomic { faults > 0 -> faults-- }
#define CRASH atomic { i != LAST && faults > 0 -> faults-- }

/* A search for one property, selected by an ONLY_ macro, doesn't check the others. */
#if defined(ONLY_not_run_is_true) || defined(ONLY_recorded_outcome_only)
#define CHECK_doubleRun skip
#else
#define CHECK_doubleRun assert(!doubleRun)
#endif
#if defined(ONLY_runs_at_most_once) || defined(ONLY_recorded_outcome_only)
#define CHECK_falseNotRun skip
#else
#define CHECK_falseNotRun assert(!falseNotRun)
#endif
#if defined(ONLY_runs_at_most_once) || defined(ONLY_not_run_is_true)
#define CHECK_otherOutcome skip
#else
#define CHECK_otherOutcome assert(!otherOutcome)
#endif

inline put(slot, newValue, condition) {
    atomic {
        slot.value = newValue;
        slot.expected = condition;
        slot.got = 0;
        slot.phase = PENDING
    }
}

inline apply(slot, writer) {
    d_step {
        slot.phase == PENDING ->
        if
#ifdef MUTANT_RELEASE_UNCONDITIONALLY
        :: slot.expected == version || slot.value == RELEASED ->
#else
        :: slot.expected == version ->
#endif
            otherOutcome = (object == RECORDED);
            CHECK_otherOutcome;
            version++;
            object = slot.value;
            objectBy = writer;
            slot.got = version;
            slot.phase = WRITTEN;
            if
            :: object == RECORDED -> recordedBy = writer
            :: else
            fi
        :: else -> slot.phase = CONFLICT
        fi;
        slot.value = ABSENT;
        slot.expected = 0
    }
}

inline reply(asker, result) {
    atomic {
        replied[asker] = result;
        falseNotRun = (result == NOT_RUN && ran[asker]);
        CHECK_falseNotRun
    }
}

/* Replies with the answer of the attempt "runner"; once an outcome is recorded, no other answer may be given. */
inline giveAnswer(asker, runner) {
    atomic {
        otherOutcome = (recordedBy != NOBODY && recordedBy != runner);
        CHECK_otherOutcome;
        replied[asker] = ANSWER
    }
}

proctype Attempt(byte i) {
    byte mine = 0;
    byte condition = 0;
    mtype seen = ABSENT;
    byte seenBy = NOBODY;

claim:
    put(claimWrite[i], CLAIMED, condition);
#ifdef MUTANT_DISPATCH_BEFORE_CLAIMED
    goto dispatch;
#endif
    if
    :: claimWrite[i].phase == WRITTEN -> mine = claimWrite[i].got; goto claimed
    :: claimWrite[i].phase == CONFLICT -> goto read
    :: FAULT; goto read        /* the answer is lost, or the write takes effect late */
    :: CRASH; goto die
    fi;

read:
    /* the read succeeds, or the platform is unreachable */
    if
    :: d_step { seen = object; seenBy = objectBy; condition = version }
    :: FAULT; goto giveUp
    :: CRASH; goto die
    fi;
    if
    :: seenBy == i && seen == CLAIMED -> mine = condition; goto claimed
    :: seenBy == i && seen == RELEASED && claimWrite[i].phase == PENDING -> goto giveUp
    :: seen == RECORDED -> giveAnswer(i, seenBy); goto done
    :: seen == ABSENT && claimWrite[i].phase == PENDING -> goto reissue
    :: seen == RELEASED && claimWrite[i].phase == PENDING -> goto reissue
    :: (seen == ABSENT || seen == RELEASED) && claimWrite[i].phase != PENDING -> goto claim
    :: seenBy != i && (seen == CLAIMED || seen == STARTED) -> goto heldByOther
    :: seenBy == i && seen == STARTED -> reply(i, MAY_HAVE_RUN); goto done
    fi;

reissue:
    /* repeats the write; both expect the same version, so at most one of them takes effect */
    if
    :: claimWrite[i].phase == WRITTEN -> mine = claimWrite[i].got; goto claimed
    :: claimWrite[i].phase == CONFLICT -> goto read
    :: FAULT; goto giveUp
    fi;

heldByOther:
#ifdef WITH_START
    if
#ifdef MUTANT_TAKE_OVER_STARTED
    :: overdue -> goto claim
#else
    :: overdue && seen == CLAIMED && version < MAX_VERSION -> goto claim
    :: overdue && seen == CLAIMED && version >= MAX_VERSION -> reply(i, MAY_HAVE_RUN); goto done
#endif
    :: overdue && seen == STARTED -> reply(i, MAY_HAVE_RUN); goto done
    :: !overdue -> reply(i, IN_PROGRESS)
    fi;
#else
#ifdef MUTANT_TAKE_OVER_UNFENCED
    if
    :: overdue -> goto claim
    :: !overdue -> reply(i, IN_PROGRESS)
    fi;
#else
    if
    :: overdue -> reply(i, MAY_HAVE_RUN); goto done
    :: !overdue -> reply(i, IN_PROGRESS)
    fi;
#endif
#endif
    /* only the last attempt retries until it has a definite result */
    if
    :: i == LAST ->
#ifdef MUTANT_NEVER_OVERDUE
        false;
#endif
        goto read
    :: else -> goto done
    fi;

claimed:
    if
    :: true
#ifdef WITH_RELEASE
    :: overdue -> goto release               /* paused past the time limit of the call */
#endif
    :: CRASH; goto die
    fi;
#ifdef WITH_START
    put(nextWrite[i], STARTED, mine);
#ifdef MUTANT_START_UNACKNOWLEDGED
    goto dispatch;
#endif
    if
    :: nextWrite[i].phase == WRITTEN -> mine = nextWrite[i].got
    :: nextWrite[i].phase == CONFLICT -> condition = 0; goto read
    :: FAULT; reply(i, NOT_RUN); goto done
    :: CRASH; goto die
    fi;
#endif

dispatch:
    if
    :: sent[i] = true
    :: FAULT; goto refused                   /* no connection, so nothing was sent */
    :: CRASH; goto die
    fi;

await:
    if
    :: answered[i] -> goto record
    :: atomic { answered[i] && faults > 0 -> faults-- }; goto recordPart
    :: cut[i] -> goto broken
    :: FAULT; goto broken
    :: CRASH; goto die
    fi;

broken:
#ifdef MUTANT_RESEND
    sent[i] = true;
    goto await;
#endif
#ifdef MUTANT_NOT_RUN_ON_BROKEN
    reply(i, NOT_RUN);
    goto done;
#endif
#ifdef MUTANT_RELEASE_ON_BROKEN
    goto release;
#endif
    reply(i, MAY_HAVE_RUN);
    goto done;

refused:
#ifdef WITH_RELEASE
    goto release;
#endif
    reply(i, NOT_RUN);
    goto done;

giveUp:
    /* the call was not dispatched and never will be */
    reply(i, NOT_RUN);
#ifdef MUTANT_DISPATCH_AFTER_GIVING_UP
    goto dispatch;
#endif
#ifdef WITH_RELEASE
    goto revoke;
#endif
    goto done;

release:
    put(nextWrite[i], RELEASED, mine);
    reply(i, NOT_RUN);
    goto done;

revoke:
    /* in the background: releases this attempt's claim, or moves the object past the version that it expects */
    atomic { seen = object; seenBy = objectBy; condition = version };
    if
    :: seenBy == i && seen == CLAIMED -> put(nextWrite[i], RELEASED, condition)
    :: (seen == ABSENT || (seen == RELEASED && seenBy != i)) && claimWrite[i].phase == PENDING ->
        put(nextWrite[i], RELEASED, condition)
    :: else -> goto done
    fi;
    if
    :: nextWrite[i].phase == WRITTEN -> goto done
    :: nextWrite[i].phase == CONFLICT -> goto revoke
    fi;

recordPart:
    /* part of the answer was received: the call ran, which is recorded without the answer */
    put(nextWrite[i], RECORDED, mine);
    reply(i, MAY_HAVE_RUN);
    goto done;

record:
    put(nextWrite[i], RECORDED, mine);
    if
    :: nextWrite[i].phase == WRITTEN
    :: nextWrite[i].phase == CONFLICT
    :: FAULT                                 /* the caller has the answer; the record may take effect late */
    :: CRASH; goto die
    fi;
    giveAnswer(i, i);
    goto done;

die:
    dead[i] = true;

done:
    atomic {
        mine = 0;
        condition = 0;
        seen = ABSENT;
        seenBy = NOBODY
    }
}

/* The store applies each write at an arbitrary time, or never. */
proctype Platform() {
end:
    do
    :: apply(claimWrite[0], 0)
    :: apply(claimWrite[1], 1)
    :: apply(nextWrite[0], 0)
    :: apply(nextWrite[1], 1)
#if ATTEMPTS > 2
    :: apply(claimWrite[2], 2)
    :: apply(nextWrite[2], 2)
#endif
    od
}

inline runOrder(n) {
    d_step {
        sent[n] -> sent[n] = false;
        ran[n] = true;
        runs++;
        answered[n] = true;
        doubleRun = (runs > 1);
        CHECK_doubleRun;
        falseNotRun = (replied[n] == NOT_RUN);
        CHECK_falseNotRun
    }
}

/* The backend server runs each call that reaches it, possibly long after the connection broke, or crashes first. */
proctype Server() {
end:
    do
    :: runOrder(0)
    :: runOrder(1)
    :: d_step { sent[0] && faults > 0 -> faults--; sent[0] = false; cut[0] = true }
    :: d_step { sent[1] && faults > 0 -> faults--; sent[1] = false; cut[1] = true }
#if ATTEMPTS > 2
    :: runOrder(2)
    :: d_step { sent[2] && faults > 0 -> faults--; sent[2] = false; cut[2] = true }
#endif
    od
}

/* The claims become overdue at an arbitrary time. */
proctype Clock() {
    overdue = true
}

/* An operator settles a claim as not run once its holder has ended and its call is no longer in flight. */
proctype Operator() {
    byte expected;
    byte by;
end:
#ifdef MUTANT_SETTLE_EARLY
    d_step { object == CLAIMED && overdue && !ran[objectBy] -> expected = version; by = objectBy };
#else
    d_step {
        object == CLAIMED && dead[objectBy] && !sent[objectBy] && !ran[objectBy] ->
        expected = version;
        by = objectBy
    };
#endif
    d_step {
        if
        :: version == expected -> version++; object = RELEASED; objectBy = by
        :: else
        fi
    }
}

init {
    atomic {
        run Platform();
        run Server();
        run Clock();
        run Operator();
        run Attempt(0);
        run Attempt(1);
#if ATTEMPTS > 2
        run Attempt(2)
#endif
    }
}

ltl retry_gets_a_word { <> (replied[LAST] != SILENT && replied[LAST] != IN_PROGRESS) }
