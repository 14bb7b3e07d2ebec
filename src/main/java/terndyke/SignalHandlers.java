package terndyke;

import java.io.IOException;
import java.lang.reflect.Proxy;

/**
 * Handles signals that would otherwise end the process. It uses sun.misc.Signal, which is not part of the documented JDK and
 * is therefore looked up by name.
 */
public final class SignalHandlers {
    private SignalHandlers() { }

    /** Runs the given task for each such signal, on a thread of the JDK. The name has no prefix, as in HUP. */
    public static void register(String name, Runnable work) throws IOException {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object heard = Proxy.newProxyInstance(SignalHandlers.class.getClassLoader(), new Class<?>[] {handler},
                    (self, method, given) -> {
                        work.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), heard);
        } catch (ReflectiveOperationException e) {
            throw new IOException("this Java runtime cannot handle SIG" + name + ": " + e, e);
        }
    }
}
