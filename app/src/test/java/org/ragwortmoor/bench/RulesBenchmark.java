package org.ragwortmoor.bench;

import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.rules.Access;
import org.ragwortmoor.state.rules.Decision;
import org.ragwortmoor.state.rules.ParseResult;
import org.ragwortmoor.state.rules.RuleParser;
import org.ragwortmoor.state.rules.RuleSet;
import org.ragwortmoor.state.token.SessionToken;
import org.ragwortmoor.state.token.SigningKey;
import org.ragwortmoor.state.token.TokenCodec;

/** Measures what every request costs: one rule decision and one token each way. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RulesBenchmark {
    private static final int KEYS = 1024;

    /** Number of partner prefixes in the file. */
    @Param({"10", "1000", "10000"})
    public int prefixes;

    private final String[] keys = new String[KEYS];
    private String text;
    private RuleSet rules;
    private TokenCodec codec;
    private SessionToken token;
    private String tokenText;
    private int next;

    /** Creates the rule file, the keys and a token with three positions. */
    @Setup
    public void setUp() {
        StringBuilder file = new StringBuilder("scope fleet p/ # requested by Court\n");
        for (int i = 0; i < prefixes; i++) {
            file.append("partner P").append(i % 10).append(" fleet p/").append(i);
            file.append("/ # requested by Court: order ").append(i).append('\n');
        }
        for (int i = 0; i < 10; i++) {
            file.append("allow read session=clerk-* partner=P").append(i);
            file.append(" # requested by Soto\n");
        }
        text = file.toString();
        rules = RuleParser.parse(text).rules().get();
        Random random = new Random(1);
        for (int i = 0; i < KEYS; i++) {
            keys[i] = "p/" + random.nextInt(prefixes) + "/vehicle/" + i;
        }
        String secret = Base64.getEncoder().encodeToString(new byte[32]);
        codec = new TokenCodec(List.of(new SigningKey(1, secret)));
        token = SessionToken.open("0123456789abcdef", "clerk-1", Long.MAX_VALUE);
        for (String group : List.of("fleet-1", "fleet-2", "fleet-3")) {
            token = token.advancedTo(group, new Position(3, 123_456)).get();
        }
        tokenText = codec.encode(token).get();
    }

    /** Decides on one record. */
    @Benchmark
    public Decision decide() {
        next = (next + 1) % KEYS;
        return rules.decide("fleet", keys[next], "clerk-1", Access.READ);
    }

    /** Reads the whole file. */
    @Benchmark
    public ParseResult parse() {
        return RuleParser.parse(text);
    }

    /** Signs a token. */
    @Benchmark
    public String encodeToken() {
        return codec.encode(token).get();
    }

    /** Verifies a token. */
    @Benchmark
    public SessionToken decodeToken() {
        return codec.decode(tokenText, 0).get();
    }
}
