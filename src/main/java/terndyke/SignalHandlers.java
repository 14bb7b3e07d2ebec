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
    public static void register(String name, Runnable task) throws IOException {
        try {
            Class<?> signalType = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(SignalHandlers.class.getClassLoader(), new Class<?>[] {handlerType},
                    (proxy, method, arguments) -> {
                        task.run();
                        return null;
                    });
            signalType.getMethod("handle", signalType, handlerType)
                    .invoke(null, signalType.getConstructor(String.class).newInstance(name), handlerProxy);
        } catch (ReflectiveOperationException e) {
            throw new IOException("this Java runtime cannot handle SIG" + name + ": " + e, e);
        }
    }
}
