package terndyke;

import java.io.IOException;
import java.lang.reflect.Proxy;

/** Hears signals by a type of the JDK that is none of its documented ones, hence by name; unheard they end the process. */
public final class SignalHandlers {
    private SignalHandlers() { }

    /** Runs this at each such signal, on a thread of the JDK's; the name is short, as in HUP. */
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
            throw new IOException("this Java cannot hear SIG" + name + ": " + e, e);
        }
    }
}
