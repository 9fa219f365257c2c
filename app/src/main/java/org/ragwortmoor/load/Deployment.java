package org.ragwortmoor.load;

import io.vavr.control.Either;
import java.util.Locale;
import org.ragwortmoor.daemon.EmbeddedDeployment;

/** Deployments that the load tool can embed. */
public enum Deployment {
    /** The proxies run elsewhere. */
    NONE,
    /** Carritos: 3 failure domains, 5 slots per endpoint. */
    CARRITOS,
    /** Speelrooster: 4 failure domains, 2 slots per endpoint. */
    SPEELROOSTER;

    /** Returns the deployment with this name in lower case, or what is wrong with it. */
    public static Either<String, Deployment> parse(String text) {
        for (Deployment deployment : values()) {
            if (deployment.label().equals(text)) {
                return Either.right(deployment);
            }
        }
        return Either.left("'" + text + "' is no deployment");
    }

    /** Returns the name in lower case. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the shape of an embedded deployment. */
    EmbeddedDeployment.Shape shape() {
        return switch (this) {
            case CARRITOS -> EmbeddedDeployment.Shape.carritos();
            case SPEELROOSTER -> EmbeddedDeployment.Shape.speelrooster();
            case NONE -> throw new IllegalStateException("no deployment is embedded");
        };
    }
}
