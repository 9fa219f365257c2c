package org.ragwortmoor.standin;

import java.util.List;
import org.ragwortmoor.standin.FaultSwitch.Direction;

/** The faults that are switched on. Confined to the server's event loop. */
final class Faults {
    private boolean silenceAll;
    private boolean refuseConnections;
    private boolean stopReplication;
    private boolean leaving;
    private long extraDelayMicros;
    private long replicationLagMicros;
    private int crossAnswers;
    private long crossHoldMicros;
    private int duplicateAnswers;
    private FaultSwitch.CutOff cut = new FaultSwitch.CutOff(List.of(), Direction.BOTH);

    Faults(long replicationLagMicros) {
        this.replicationLagMicros = replicationLagMicros;
    }

    /** Applies a switch; silencing single connections is up to the server. */
    void apply(FaultSwitch fault) {
        if (fault instanceof FaultSwitch.SilenceAll silence) {
            silenceAll = silence.on();
        } else if (fault instanceof FaultSwitch.RefuseConnections refuse) {
            refuseConnections = refuse.on();
        } else if (fault instanceof FaultSwitch.ExtraDelay delay) {
            extraDelayMicros = delay.micros();
        } else if (fault instanceof FaultSwitch.CrossAnswers cross) {
            crossAnswers = cross.count();
            crossHoldMicros = cross.holdMicros();
        } else if (fault instanceof FaultSwitch.DuplicateAnswers duplicate) {
            duplicateAnswers = duplicate.count();
        } else if (fault instanceof FaultSwitch.CutOff other) {
            cut = other;
        } else if (fault instanceof FaultSwitch.StopReplication stop) {
            stopReplication = stop.on();
        } else if (fault instanceof FaultSwitch.Leaving leave) {
            leaving = leave.on();
        } else if (fault instanceof FaultSwitch.ReplicationLag lag) {
            replicationLagMicros = lag.micros();
        } else if (fault instanceof FaultSwitch.Clear) {
            clear();
        }
    }

    private void clear() {
        silenceAll = false;
        refuseConnections = false;
        stopReplication = false;
        leaving = false;
        extraDelayMicros = 0;
        replicationLagMicros = 0;
        crossAnswers = 0;
        duplicateAnswers = 0;
        cut = new FaultSwitch.CutOff(List.of(), Direction.BOTH);
    }

    /** Returns whether frames between the stand-in and the peer are dropped in a direction. */
    boolean cutOff(PeerNames peer, Direction direction) {
        return cut.direction().includes(direction) && peer.matchesAny(cut.peers());
    }

    boolean silenceAll() {
        return silenceAll;
    }

    boolean refuseConnections() {
        return refuseConnections;
    }

    boolean stopReplication() {
        return stopReplication;
    }

    boolean leaving() {
        return leaving;
    }

    long extraDelayMicros() {
        return extraDelayMicros;
    }

    long replicationLagMicros() {
        return replicationLagMicros;
    }

    long crossHoldMicros() {
        return crossHoldMicros;
    }

    /** Returns whether the next answer to a statement is held back, and counts it. */
    boolean takeCross() {
        if (crossAnswers <= 0) {
            return false;
        }
        crossAnswers--;
        return true;
    }

    /** Returns whether the next answer to a statement is sent twice, and counts it. */
    boolean takeDuplicate() {
        if (duplicateAnswers <= 0) {
            return false;
        }
        duplicateAnswers--;
        return true;
    }
}
