package org.ragwortmoor.load;

import java.io.IOException;

/** Chooses the target of a load. */
public final class LoadTargets {
    private LoadTargets() {}

    /**
     * Returns the proxies that run elsewhere, or starts the embedded deployment.
     *
     * @throws IOException if the embedded deployment does not start
     */
    public static LoadTarget start(LoadSettings.Target target) throws IOException {
        return target.deployment() == Deployment.NONE
                ? new AddressTarget(target.proxies(), target.groups())
                : EmbeddedTarget.start(target, target.groups());
    }
}
