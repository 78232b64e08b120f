/** Threads that do not keep the program alive. */
final class Daemons {
  private Daemons() {}

  static Thread thread(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    return thread;
  }

  static void start(Runnable action) {
    thread(action).start();
  }
}
