package org.ragwortmoor.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The contract of one endpoint: each row is a list of calls with the answers that they must get.
 * Guards against writes of deposed primaries, repeated writes and mixed transactions.
 */
class StandinDatabaseTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "a new endpoint is no primary | write 1 a/1 k=1 -> NOT_PRIMARY;"
                        + " read ?k -> 0:0 k=none",
                "a fenced primary refuses writes | promote 1 -> primary 1 at 1:1;"
                        + " fence 2 -> replica 2 at 1:1; write 1 a/1 k=1 -> FENCED",
                "a fenced primary refuses commits | promote 1 -> primary 1 at 1:1;"
                        + " begin 1 -> transaction 1; in 1 k=1 -> 1:1; fence 2 -> replica 2 at 1:1;"
                        + " commit 1 a/1 -> FENCED; read ?k -> 1:1 k=none",
                "a fence of the same term keeps the role | promote 1 -> primary 1 at 1:1;"
                        + " fence 1 -> primary 1 at 1:1",
                "an older fence is refused | fence 3 -> replica 3 at 0:0; fence 2 -> FENCED;"
                        + " promote 2 -> FENCED; follow 2 x -> FENCED",
                "promotion is repeatable and writes one entry | promote 1 -> primary 1 at 1:1;"
                        + " promote 1 -> primary 1 at 1:1",
                "a follower of the term is not promoted | follow 1 x -> replica 1 at 0:0;"
                        + " promote 1 -> BAD_REQUEST; promote 2 -> primary 2 at 2:1",
                "a primary does not follow in its term | promote 1 -> primary 1 at 1:1;"
                        + " follow 1 x -> BAD_REQUEST; follow 2 x -> replica 2 at 1:1",
                "writes of a later term are refused | promote 1 -> primary 1 at 1:1;"
                        + " write 2 a/1 k=1 -> NOT_PRIMARY",
                "a duplicate returns the first position and results |"
                        + " promote 1 -> primary 1 at 1:1; write 1 a/1 k+1 ?k -> 1:2 k=1;"
                        + " write 1 a/1 k+1 ?k -> 1:2 k=1 duplicate;"
                        + " write 1 a/2 k+1 ?k -> 1:2 k=1 duplicate; read ?k -> 1:2 k=1",
                "resolve of an executed write | promote 1 -> primary 1 at 1:1;"
                        + " write 1 a/1 k=1 -> 1:2; resolve 1 a/1 -> executed 1:2",
                "a late original is refused after resolve | promote 1 -> primary 1 at 1:1;"
                        + " resolve 1 a/1 -> cancelled 1:2; write 1 a/1 k=1 -> CANCELLED 1;"
                        + " resolve 1 a/1 -> cancelled 1:2; read ?k -> 1:2 k=none",
                "a later attempt runs, the late original returns it |"
                        + " promote 1 -> primary 1 at 1:1; resolve 1 a/2 -> cancelled 1:2;"
                        + " write 1 a/2 k=1 -> CANCELLED 2; write 1 a/3 k=1 -> 1:3;"
                        + " write 1 a/1 k=1 -> 1:3 duplicate; resolve 1 a/9 -> executed 1:3",
                "a higher cancellation extends the mark | promote 1 -> primary 1 at 1:1;"
                        + " resolve 1 a/1 -> cancelled 1:2; resolve 1 a/3 -> cancelled 1:3;"
                        + " write 1 a/2 k=1 -> CANCELLED 3",
                "outcomes outlive the term | promote 1 -> primary 1 at 1:1;"
                        + " write 1 a/1 k=1 -> 1:2; promote 2 -> primary 2 at 2:3;"
                        + " write 2 a/1 k=2 -> 1:2 duplicate; read ?k -> 2:3 k=1",
                "the first committer wins | promote 1 -> primary 1 at 1:1;"
                        + " begin 1 -> transaction 1; begin 1 -> transaction 2;"
                        + " in 1 k+1 -> 1:1; in 2 k+1 -> 1:1; commit 1 a/1 -> 1:2;"
                        + " commit 2 b/1 -> CONFLICT; read ?k -> 1:2 k=1",
                "a read that another commit changed conflicts |"
                        + " promote 1 -> primary 1 at 1:1; begin 1 -> transaction 1;"
                        + " in 1 ?k m=1 -> 1:1 k=none; write 1 a/1 k=1 -> 1:2;"
                        + " commit 1 b/1 -> CONFLICT; read ?m -> 1:2 m=none",
                "a scanned range that grew conflicts | promote 1 -> primary 1 at 1:1;"
                        + " begin 1 -> transaction 1; in 1 ?p* -> 1:1;"
                        + " write 1 a/1 px=1 -> 1:2; commit 1 b/1 -> CONFLICT",
                "unrelated transactions both commit | promote 1 -> primary 1 at 1:1;"
                        + " begin 1 -> transaction 1; begin 1 -> transaction 2;"
                        + " in 1 k=1 -> 1:1; in 2 m=2 -> 1:1; commit 1 a/1 -> 1:2;"
                        + " commit 2 b/1 -> 1:3; read ?k ?m -> 1:3 k=1 m=2",
                "a transaction sees its own changes, others do not |"
                        + " promote 1 -> primary 1 at 1:1; write 1 a/1 pa=1 pb=2 -> 1:2;"
                        + " begin 1 -> transaction 1; in 1 -pa pc=3 -> 1:2;"
                        + " in 1 ?p* -> 1:2 pb=2 pc=3; read ?p* -> 1:2 pa=1 pb=2;"
                        + " rollback 1 -> done; commit 1 b/1 -> UNKNOWN_TRANSACTION",
                "a repeated commit returns the first position |"
                        + " promote 1 -> primary 1 at 1:1; begin 1 -> transaction 1;"
                        + " in 1 k=1 -> 1:1; commit 1 a/1 -> 1:2; commit 1 a/1 -> 1:2 duplicate",
                "a cancelled commit is not run | promote 1 -> primary 1 at 1:1;"
                        + " begin 1 -> transaction 1; in 1 k=1 -> 1:1;"
                        + " resolve 1 a/1 -> cancelled 1:2; commit 1 a/1 -> CANCELLED 1;"
                        + " read ?k -> 1:2 k=none",
                "an invalid statement has no effect | promote 1 -> primary 1 at 1:1;"
                        + " write 1 a/1 k=text -> 1:2; write 1 b/1 m=1 k+1 -> BAD_REQUEST;"
                        + " begin 1 -> transaction 1; in 1 m=1 k+1 -> BAD_REQUEST;"
                        + " commit 1 c/1 -> 1:3; read ?m k=2 -> BAD_REQUEST;"
                        + " read ?m -> 1:3 m=none",
            })
    void answersAsSpecified(String name, String script) {
        Script calls = new Script(new StandinDatabase(Journal.NONE, Recovered.EMPTY));
        for (String step : List.of(script.split(";", -1))) {
            String[] parts = step.split("->", -1);
            assertThat(calls.run(parts[0])).as(step).isEqualTo(parts[1].trim());
        }
    }
}
