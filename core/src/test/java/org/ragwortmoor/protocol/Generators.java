package org.ragwortmoor.protocol;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.ragwortmoor.coordination.control.Announcement;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.coordination.control.ProxyReport;
import org.ragwortmoor.coordination.control.TokenKey;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.GroupView;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;
import org.ragwortmoor.state.TermStart;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** Generates arbitrary valid messages. */
final class Generators {
    private Generators() {}

    private static Arbitrary<String> text() {
        // Excludes unpaired surrogates, which have no UTF-8 encoding.
        return Arbitraries.strings().withChars("az09/ \u00e9\u4e2d\n").ofMaxLength(12);
    }

    private static Arbitrary<String> name() {
        return text().filter(s -> !s.isEmpty());
    }

    private static Arbitrary<Long> number() {
        return Arbitraries.longs().between(0, Long.MAX_VALUE);
    }

    private static Arbitrary<Integer> count() {
        return Arbitraries.integers().between(0, Integer.MAX_VALUE);
    }

    private static Arbitrary<Integer> positive() {
        return Arbitraries.integers().between(1, Integer.MAX_VALUE);
    }

    private static Arbitrary<Boolean> flag() {
        return Arbitraries.of(true, false);
    }

    private static Arbitrary<Position> position() {
        return Combinators.combine(number(), number()).as(Position::new);
    }

    private static Arbitrary<WriteIdentity> identity() {
        return Combinators.combine(name(), positive()).as(WriteIdentity::new);
    }

    private static Arbitrary<TermHistory> history() {
        Arbitrary<Long> step = Arbitraries.longs().between(1, 1L << 40);
        return Combinators.combine(step, step)
                .as(TermStart::new)
                .list()
                .ofMaxSize(5)
                .map(
                        steps -> {
                            List<TermStart> starts = new ArrayList<>();
                            TermStart last = new TermStart(0, 0);
                            for (TermStart next : steps) {
                                last =
                                        new TermStart(
                                                last.term() + next.term(),
                                                last.index() + next.index());
                                starts.add(last);
                            }
                            return new TermHistory(starts);
                        });
    }

    private static Arbitrary<EndpointStatus> status() {
        return Combinators.combine(
                        number(), flag(), position(), history(), count(), count(), count(), flag())
                .as(EndpointStatus::new)
                .flatMap(s -> Arbitraries.longs().map(s::withIncarnation));
    }

    private static Arbitrary<ReadRecord> record() {
        return Combinators.combine(name(), text().optional().map(Option::ofOptional))
                .as(ReadRecord::new);
    }

    private static Arbitrary<Operation> operation() {
        return Arbitraries.oneOf(
                name().map(Operation.Get::new),
                Combinators.combine(name(), text()).as(Operation.Put::new),
                name().map(Operation.Delete::new),
                Combinators.combine(name(), Arbitraries.longs()).as(Operation.Increment::new),
                Combinators.combine(text(), text(), positive()).as(Operation.Scan::new));
    }

    private static Arbitrary<List<Operation>> operations() {
        return operation().list().ofMaxSize(4);
    }

    static Arbitrary<EndpointCall> calls() {
        return Arbitraries.oneOf(
                Combinators.combine(name(), flag()).as(EndpointCall.Hello::new),
                Arbitraries.just(new EndpointCall.Ping()),
                Combinators.combine(operations(), number()).as(EndpointCall.Read::new),
                Combinators.combine(number(), operations(), identity(), number())
                        .as(EndpointCall.Write::new),
                number().map(EndpointCall.Begin::new),
                Combinators.combine(number(), operations(), number())
                        .as(EndpointCall.InTransaction::new),
                Combinators.combine(number(), identity()).as(EndpointCall.Commit::new),
                Arbitraries.just(new EndpointCall.Reset()),
                Combinators.combine(position(), number()).as(EndpointCall.Status::new),
                Combinators.combine(number(), identity()).as(EndpointCall.Resolve::new),
                number().map(EndpointCall.Fence::new),
                number().map(EndpointCall.Promote::new),
                Combinators.combine(number(), name()).as(EndpointCall.Follow::new));
    }

    static Arbitrary<EndpointAnswer> answers() {
        return Arbitraries.oneOf(
                status().map(EndpointAnswer.StatusReport::new),
                Combinators.combine(
                                record().list().ofMaxSize(4), position(), flag(), number(), count())
                        .as(EndpointAnswer.Result::new),
                number().map(EndpointAnswer.Began::new),
                Arbitraries.just(new EndpointAnswer.ResetDone()),
                Combinators.combine(flag(), position()).as(EndpointAnswer.Resolved::new),
                Combinators.combine(Arbitraries.of(RefusalKind.class), text(), number(), count())
                        .as(EndpointAnswer.Refused::new));
    }

    private static Arbitrary<EndpointInfo> info() {
        return Combinators.combine(
                        name(), Arbitraries.longs(), name(), name(), positive(), positive(), flag())
                .as(EndpointInfo::new);
    }

    private static Arbitrary<ProxyReport> report() {
        Arbitrary<ProxyReport.EndpointObservation> observation =
                Combinators.combine(
                                name(), name(), number(), count(), count(), count(), count(),
                                number())
                        .as(ProxyReport.EndpointObservation::new);
        return Combinators.combine(
                        Combinators.combine(name(), Arbitraries.longs(), name())
                                .as(ReportHead::new),
                        number(),
                        number(),
                        number(),
                        flag(),
                        Arbitraries.longs(),
                        observation.list().ofMaxSize(3))
                .as(
                        (head, sequence, rules, prepared, stopping, sentAt, endpoints) ->
                                new ProxyReport(
                                        head.proxy(),
                                        head.incarnation(),
                                        head.domain(),
                                        sequence,
                                        rules,
                                        prepared,
                                        stopping,
                                        sentAt,
                                        endpoints,
                                        new ProxyReport.Acknowledged(sequence, rules, prepared)));
    }

    private record ReportHead(String proxy, long incarnation, String domain) {}

    private static Arbitrary<ControlUpdate> update() {
        Arbitrary<Option<ControlUpdate.RulesText>> rules =
                Combinators.combine(number(), text())
                        .as(ControlUpdate.RulesText::new)
                        .optional()
                        .map(Option::ofOptional);
        Arbitrary<GroupView> view =
                Combinators.combine(
                                name(),
                                positive(),
                                number(),
                                text().optional().map(Option::ofOptional),
                                info().list().ofMaxSize(3))
                        .as(GroupView::new);
        Arbitrary<ControlUpdate.Share> share =
                Combinators.combine(name(), name(), count(), count(), count())
                        .as(ControlUpdate.Share::new);
        Arbitrary<TokenKey> key =
                Combinators.combine(Arbitraries.integers(), name()).as(TokenKey::new);
        return Combinators.combine(
                        name(),
                        number().array(long[].class).ofSize(5),
                        Arbitraries.longs().tuple2(),
                        rules,
                        rules,
                        view.list().ofMaxSize(2),
                        share.list().ofMaxSize(2),
                        key.list().ofMaxSize(2))
                .as(
                        (proxy, numbers, clocks, text, pending, groups, shares, keys) ->
                                new ControlUpdate(
                                        proxy,
                                        numbers[0],
                                        numbers[1],
                                        clocks.get1(),
                                        numbers[2],
                                        numbers[3],
                                        text,
                                        pending,
                                        groups,
                                        shares,
                                        keys,
                                        clocks.get2(),
                                        numbers[4]));
    }

    static Arbitrary<PeerEnvelope> envelopes() {
        Arbitrary<PeerBody> bodies =
                Arbitraries.oneOf(
                        report().map(PeerBody.Report::new),
                        update().map(PeerBody.Update::new),
                        Combinators.combine(
                                        name(), positive(), info(), status(), Arbitraries.longs())
                                .as(Announcement::new)
                                .map(PeerBody.Announced::new),
                        Combinators.combine(name(), name(), Arbitraries.longs())
                                .as(PeerBody.AnnouncementAck::new),
                        Arbitraries.bytes()
                                .array(byte[].class)
                                .ofMaxSize(20)
                                .map(b -> new PeerBody.Consensus(ByteString.copyFrom(b))));
        return Combinators.combine(name(), bodies).as(PeerEnvelope::new);
    }
}
