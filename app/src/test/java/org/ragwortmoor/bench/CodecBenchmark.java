package org.ragwortmoor.bench;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
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
import org.ragwortmoor.protocol.EndpointCodec;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.WriteIdentity;
import org.ragwortmoor.state.token.SessionToken;
import org.ragwortmoor.state.token.SigningKey;
import org.ragwortmoor.state.token.TokenCodec;

/** Measures the codecs of one request: the caller's token and the frames of its endpoint. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class CodecBenchmark {
    /** Positions in the token, operations of the call and records of the answer. */
    @Param({"1", "4", "16"})
    public int items;

    private TokenCodec codec;
    private SessionToken token;
    private String tokenText;
    private EndpointCall call;
    private EndpointAnswer answer;
    private byte[] callBytes;
    private byte[] answerBytes;

    /** Creates a token, a write and the answer to a read. */
    @Setup
    public void setUp() {
        String secret = Base64.getEncoder().encodeToString(new byte[32]);
        codec = new TokenCodec(List.of(new SigningKey(1, secret)));
        token = SessionToken.open("0123456789abcdef", "clerk-1", Long.MAX_VALUE);
        List<Operation> operations = new ArrayList<>();
        List<ReadRecord> records = new ArrayList<>();
        for (int i = 0; i < items; i++) {
            token = token.advancedTo("fleet-" + i, new Position(3, 123_456 + i)).get();
            operations.add(new Operation.Put("p/7/vehicle/" + i, "reserved until 14:30"));
            records.add(new ReadRecord("p/7/vehicle/" + i, Option.of("reserved until 14:30")));
        }
        tokenText = codec.encode(token).get();
        WriteIdentity identity = new WriteIdentity("7d0c3a52-58c1-4be6-9bd0-3d9aa0d8a2f1", 1);
        call = new EndpointCall.Write(3, operations, identity, 25_000);
        answer = new EndpointAnswer.Result(records, new Position(3, 123_456), false, 120, 2);
        callBytes = encodeCall();
        answerBytes = EndpointCodec.frame(7, answer).toByteArray();
    }

    /** Signs a token. */
    @Benchmark
    public String encodeToken() {
        return codec.encode(token).get();
    }

    /** Verifies a token. */
    @Benchmark
    public SessionToken checkToken() {
        return codec.decode(tokenText, 0).get();
    }

    /** Writes the frame of a call. */
    @Benchmark
    public byte[] encodeCall() {
        return EndpointCodec.frame(7, call).toByteArray();
    }

    /** Reads the frame of a call, which the endpoint does. */
    @Benchmark
    public EndpointCall decodeCall() {
        return EndpointCodec.parse(ByteBuffer.wrap(callBytes))
                .flatMap(EndpointCodec::decodeCall)
                .get();
    }

    /** Reads the frame of an answer. */
    @Benchmark
    public EndpointAnswer decodeAnswer() {
        return EndpointCodec.parse(ByteBuffer.wrap(answerBytes))
                .flatMap(EndpointCodec::decodeAnswer)
                .get();
    }
}
